package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A record is a header of 12 bytes, little-endian, a payload and an end byte.
// The header holds the length of the payload, its CRC-32C, and the CRC-32C of
// the 8 bytes before.
const (
	headerBytes = 12
	// endByte is not zero, so that a sector that was written and holds the end
	// of a record is told from one that was never written.
	endByte = 0xa5
	// sectorBytes is the unit that a disk writes as a whole.
	sectorBytes = 512
	// maxRecordBytes bounds one record.
	maxRecordBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	// errTorn tells that the data ends within a record, as after a crash in
	// the middle of a write.
	errTorn = errors.New("the record is incomplete")
	// errDamaged tells that a whole record has a wrong checksum.
	errDamaged = errors.New("wrong checksum")
)

// CorruptionError tells where stored data is damaged. The member must not start
// with it: it may have acknowledged what is lost. Replace the member.
type CorruptionError struct {
	File string
	// Offset is the position in the file in bytes.
	Offset int64
	Cause  error
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %v", e.File, e.Offset, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptionError) Unwrap() error { return e.Cause }

// encodeRecord returns payload with its header.
func encodeRecord(payload []byte) []byte {
	record := make([]byte, headerBytes, headerBytes+len(payload)+1)
	binary.LittleEndian.PutUint32(record[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(record[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(record[8:], crc32.Checksum(record[:8], castagnoli))
	record = append(record, payload...)
	return append(record, endByte)
}

// decodeRecord returns the payload of the record at offset and the offset of
// the next one. errTorn is returned only where a crash can have cut off the
// last write: the data ends within the record, or the rest of it was allotted
// but never written and so holds zeros.
func decodeRecord(data []byte, offset int) (payload []byte, next int, err error) {
	rest := data[offset:]
	if allZero(rest) {
		return nil, 0, errTorn
	}
	if len(rest) < headerBytes {
		return nil, 0, errTorn
	}
	header := rest[:headerBytes]
	if crc32.Checksum(header[:8], castagnoli) != binary.LittleEndian.Uint32(header[8:]) {
		return nil, 0, tornOrDamaged(data, offset, headerBytes)
	}
	length := int(binary.LittleEndian.Uint32(header))
	if length > maxRecordBytes {
		return nil, 0, errDamaged
	}
	size := headerBytes + length + 1
	if len(rest) < size {
		return nil, 0, errTorn
	}
	payload = rest[headerBytes : size-1]
	if rest[size-1] != endByte || crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, 0, tornOrDamaged(data, offset, size)
	}
	return payload, offset + size, nil
}

// tornOrDamaged judges a record of the given length with a wrong checksum. It
// is torn when it is the last and one of its sectors was never written.
func tornOrDamaged(data []byte, offset, length int) error {
	end := offset + length
	if len(data) > end && !allZero(data[end:]) {
		return errDamaged
	}
	for at := offset; at < end; {
		sectorEnd := min(at-at%sectorBytes+sectorBytes, end)
		if allZero(data[at:sectorEnd]) {
			return errTorn
		}
		at = sectorEnd
	}
	return errDamaged
}

func allZero(data []byte) bool {
	return len(bytes.Trim(data, "\x00")) == 0
}
