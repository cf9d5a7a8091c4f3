package events

import "log/slog"

// Events of certificates and of connections that were refused.
var (
	CertificateRenewed = Event{
		Number: 1020, Level: slog.LevelInfo, Name: "certificate_renewed",
		Fields:  []string{"expires"},
		Meaning: "The daemon uses its renewed files for new connections; open ones go on.",
	}
	CertificateUnusable = Event{
		Number: 1021, Level: slog.LevelError, Name: "certificate_unusable",
		Fields:  []string{"error"},
		Meaning: "The files of the certificate or of an authority cannot be used. The daemon goes on with those it read last.",
		Action:  "Mend the file that the error names; it is read again within 10 s. See docs/operators/tls.md.",
	}
	CertificateExpires = Event{
		Number: 1022, Level: slog.LevelWarn, Name: "certificate_expires",
		Fields:  []string{"expires", "left"},
		Meaning: "The daemon's certificate, or one that issued it, ends soon or has ended.",
		Action:  "Renew the files. After the end no daemon, operator or caller can open a connection to this daemon.",
	}
	PeerRefused = Event{
		Number: 1023, Level: slog.LevelWarn, Name: "peer_refused",
		Fields:  []string{"remote", "error", "unreported"},
		Meaning: "A connection between daemons was refused, since the other end's certificate is missing, expired, of another authority or of another name. Unreported counts those refused since the last such event.",
		Action:  "If the other end is a daemon, look at its files. See docs/operators/tls.md.",
	}
	HTTPServerError = Event{
		Number: 1024, Level: slog.LevelWarn, Name: "door_error",
		Fields:  []string{"door", "error"},
		Meaning: "The HTTP server of callers or operators refused a connection, most often a TLS handshake.",
		Action:  "Look at the client's certificate and at the authority that the error names. See docs/operators/tls.md.",
	}
)
