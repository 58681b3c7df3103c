package ledger

import (
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"
)

const (
	uuidBytes = 16
	// uuidVersionTimeOrdered is the version of RFC 9562 that begins with the
	// Unix time in milliseconds.
	uuidVersionTimeOrdered = 7
)

// keyTime returns when a key was made, which a UUID of version 7 tells.
func keyTime(key string) (time.Time, bool) {
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != uuidBytes || raw[6]>>4 != uuidVersionTimeOrdered {
		return time.Time{}, false
	}
	millis := binary.BigEndian.Uint64(raw[:8]) >> 16
	return time.UnixMilli(int64(millis)), true
}
