package idempotency

import (
	"strconv"
	"strings"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/pkg/errors"
)

const (
	keyRadix    = 36
	nonceDigits = 16
	maxKeyBytes = 64
)

// Key is a parsed idempotency key. It does not contain its key share, which is
// cluster.KeyShare of the key's text.
type Key struct {
	// Epoch is the epoch of the share's owner that issued the key.
	Epoch uint64
	// Generation is the number of generation periods from the beginning of the
	// epoch until the key was issued.
	Generation uint64
	// Nonce makes the key unique.
	Nonce string
}

// String returns the key's text, "epoch-generation-nonce".
func (k Key) String() string {
	return strconv.FormatUint(k.Epoch, keyRadix) + "-" + strconv.FormatUint(k.Generation, keyRadix) + "-" + k.Nonce
}

// ParseKey parses a key's text. No request can have run under a key for which it
// returns an error.
func ParseKey(text string) (Key, error) {
	if len(text) > maxKeyBytes {
		return Key{}, errors.Errorf("key of %d bytes is over the %d allowed", len(text), maxKeyBytes)
	}
	parts := strings.Split(text, "-")
	if len(parts) != 3 || len(parts[2]) != nonceDigits {
		return Key{}, errors.New("key is not epoch-generation-nonce")
	}
	epoch, err := strconv.ParseUint(parts[0], keyRadix, 64)
	if err != nil {
		return Key{}, errors.Wrap(err, "key epoch")
	}
	generation, err := strconv.ParseUint(parts[1], keyRadix, 64)
	if err != nil {
		return Key{}, errors.Wrap(err, "key generation")
	}
	key := Key{Epoch: epoch, Generation: generation, Nonce: parts[2]}
	if key.String() != text {
		return Key{}, errors.New("key is not in its plain form")
	}
	return key, nil
}

// newKey draws nonces until the key belongs to share.
func newKey(share cluster.Share, epoch, generation uint64, random func() uint64) string {
	key := Key{Epoch: epoch, Generation: generation}
	for {
		key.Nonce = nonce(random)
		text := key.String()
		if cluster.KeyShare(text) == share {
			return text
		}
	}
}

func nonce(random func() uint64) string {
	text := strconv.FormatUint(random(), keyRadix) + strconv.FormatUint(random(), keyRadix)
	text = strings.Repeat("0", nonceDigits) + text
	return text[len(text)-nonceDigits:]
}
