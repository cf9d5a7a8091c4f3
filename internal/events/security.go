package events

import "log/slog"

// Events of certificates and refused connections.
var (
	CertificateRenewed = Event{
		Number: 1020, Level: slog.LevelInfo, Name: "certificate_renewed",
		Fields:  []string{"expires"},
		Meaning: "The daemon uses the renewed certificate files for new connections; open connections are kept.",
	}
	CertificateUnusable = Event{
		Number: 1021, Level: slog.LevelError, Name: "certificate_unusable",
		Fields:  []string{"error"},
		Meaning: "The files of the certificate or of an authority cannot be used. The daemon continues with those it read last.",
		Action:  "Fix the file that the error names; it is read again within 10 s. See docs/operators/tls.md.",
	}
	CertificateExpires = Event{
		Number: 1022, Level: slog.LevelWarn, Name: "certificate_expires",
		Fields:  []string{"expires", "left"},
		Meaning: "The daemon's certificate, or one in its chain, expires soon or has expired.",
		Action:  "Renew the files. After the expiry no daemon, operator or caller can open a connection to this daemon.",
	}
	PeerRefused = Event{
		Number: 1023, Level: slog.LevelWarn, Name: "peer_refused",
		Fields:  []string{"remote", "error", "unreported"},
		Meaning: "A connection between daemons was refused because the certificate of the other end is missing, expired, of another authority or of another name, or because, without TLS, it comes from another host than the daemon that it names. The field unreported counts the refusals since the previous event that were not logged.",
		Action:  "If the other end is a daemon, check its certificate files. See docs/operators/tls.md.",
	}
	HTTPServerError = Event{
		Number: 1024, Level: slog.LevelWarn, Name: "door_error",
		Fields:  []string{"door", "error"},
		Meaning: "The HTTP server for callers or operators reported an error, most often a failed TLS handshake.",
		Action:  "Check the client's certificate and the authority that the error names. See docs/operators/tls.md.",
	}
)
