package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A record is a header of 12 bytes, a payload and an end byte. The header holds
// three little-endian 32-bit numbers: the length of the payload, its CRC-32C,
// and the CRC-32C of the first 8 bytes of the header.
const (
	headerBytes = 12
	// endByte is not zero, so that a written sector with the end of a record
	// differs from a sector that was never written.
	endByte = 0xa5
	// sectorBytes is the unit that a disk writes atomically.
	sectorBytes = 512
	// maxRecordBytes is the maximum length of a payload.
	maxRecordBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	// errTorn means that the data ends within a record, as after a crash during
	// a write.
	errTorn = errors.New("the record is incomplete")
	// errCorrupt means that a record was written completely, but its content
	// doesn't match its checksums or lengths.
	errCorrupt = errors.New("wrong checksum or length")
)

// CorruptionError reports stored data that can't be read. A member must not
// start with such data, as it may have acknowledged what is lost: it has to be
// replaced by a new member.
type CorruptionError struct {
	// File is the path of the corrupt file.
	File string
	// Offset is the position in the file in bytes, at or before the corruption.
	Offset int64
	Cause  error
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %v", e.File, e.Offset, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptionError) Unwrap() error { return e.Cause }

// encodeRecord returns payload with its header and end byte.
func encodeRecord(payload []byte) []byte {
	record := make([]byte, headerBytes, headerBytes+len(payload)+1)
	binary.LittleEndian.PutUint32(record[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(record[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(record[8:], crc32.Checksum(record[:8], castagnoli))
	record = append(record, payload...)
	return append(record, endByte)
}

// decodeRecord returns the payload of the record at offset and the offset of
// the next record. It returns errTorn only if a crash during the last write
// explains the data: the data ends within the record, or a sector of the record
// was allocated but never written and so holds zeros.
func decodeRecord(data []byte, offset int) (payload []byte, next int, err error) {
	rest := data[offset:]
	if isAllZero(rest) {
		return nil, 0, errTorn
	}
	if len(rest) < headerBytes {
		return nil, 0, errTorn
	}
	header := rest[:headerBytes]
	if crc32.Checksum(header[:8], castagnoli) != binary.LittleEndian.Uint32(header[8:]) {
		return nil, 0, tornOrCorrupt(data, offset, headerBytes)
	}
	length := int(binary.LittleEndian.Uint32(header))
	if length > maxRecordBytes {
		return nil, 0, errCorrupt
	}
	size := headerBytes + length + 1
	if len(rest) < size {
		return nil, 0, errTorn
	}
	payload = rest[headerBytes : size-1]
	if rest[size-1] != endByte || crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, 0, tornOrCorrupt(data, offset, size)
	}
	return payload, offset + size, nil
}

// tornOrCorrupt returns the error for a record of the given length in bytes with
// a wrong checksum: errTorn if it is the last record and one of its sectors was
// never written, else errCorrupt.
func tornOrCorrupt(data []byte, offset, length int) error {
	end := offset + length
	if len(data) > end && !isAllZero(data[end:]) {
		return errCorrupt
	}
	for partStart := offset; partStart < end; {
		sectorEnd := min(partStart-partStart%sectorBytes+sectorBytes, end)
		if isAllZero(data[partStart:sectorEnd]) {
			return errTorn
		}
		partStart = sectorEnd
	}
	return errCorrupt
}

func isAllZero(data []byte) bool {
	return len(bytes.Trim(data, "\x00")) == 0
}
