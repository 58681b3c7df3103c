package ledger

import (
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"
)

const (
	uuidBytes = 16
	// uuidVersionTimeOrdered is the UUID version of RFC 9562 whose first 48 bits are
	// the Unix time in milliseconds.
	uuidVersionTimeOrdered = 7
)

// keyCreatedAt returns the creation time of a key that is a UUID of version 7, and
// false for any other key.
func keyCreatedAt(key string) (time.Time, bool) {
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != uuidBytes || raw[6]>>4 != uuidVersionTimeOrdered {
		return time.Time{}, false
	}
	millis := binary.BigEndian.Uint64(raw[:8]) >> 16
	return time.UnixMilli(int64(millis)), true
}
