package journaler

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"
)

// A record is one group of entries: a header of 16 bytes, then the entries as msgpack. The
// header holds the CRC32C of everything after it, the length of the payload and the number of
// the record, all little-endian. Record numbers are consecutive over all segments.
const (
	headerSize = 16
	// maxRecordSize is the maximum payload of a record, in bytes.
	maxRecordSize = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// DamageError reports content that is invalid and that a write interrupted by a crash does not
// explain.
type DamageError struct {
	File   string
	Offset int64 // in bytes
	Reason string
}

// Error names the file, the offset and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("journal damaged: %s at byte %d: %s", e.File, e.Offset, e.Reason)
}

func appendRecord(buf []byte, number uint64, payload []byte) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, headerSize)...)
	buf = append(buf, payload...)
	header := buf[start:]
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[8:], number)
	binary.LittleEndian.PutUint32(header, crc32.Checksum(header[4:], castagnoli))
	return buf
}

// parseRecord reads the record at the start of data. It reports false if there is no complete,
// valid one.
func parseRecord(data []byte) (number uint64, payload []byte, ok bool) {
	if len(data) < headerSize {
		return 0, nil, false
	}
	size := int(binary.LittleEndian.Uint32(data[4:]))
	if size > maxRecordSize || len(data)-headerSize < size {
		return 0, nil, false
	}
	end := headerSize + size
	if crc32.Checksum(data[4:end], castagnoli) != binary.LittleEndian.Uint32(data) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(data[8:]), data[headerSize:end], true
}

// hasRecordAfter reports whether data holds a valid record with a higher number than number.
// Records are synced one after the other, so such a record proves that the one with that number
// was once complete on disk.
func hasRecordAfter(data []byte, number uint64) bool {
	for i := 0; i+headerSize <= len(data); i++ {
		found := binary.LittleEndian.Uint64(data[i+8:])
		if found <= number || found > number+uint64(len(data)) {
			continue
		}
		if _, _, ok := parseRecord(data[i:]); ok {
			return true
		}
	}
	return false
}

// encodeWithChecksum encodes value as one record, with its CRC32C, for files that are replaced
// as a whole.
func encodeWithChecksum(value any) ([]byte, error) {
	payload, err := msgpack.Marshal(value)
	if err != nil {
		return nil, err
	}
	return appendRecord(nil, 0, payload), nil
}

func decodeWithChecksum(path string, data []byte, value any) error {
	_, payload, ok := parseRecord(data)
	if !ok || len(payload)+headerSize != len(data) {
		return &DamageError{File: path, Reason: "checksum does not match"}
	}
	if err := msgpack.Unmarshal(payload, value); err != nil {
		return &DamageError{File: path, Offset: headerSize, Reason: err.Error()}
	}
	return nil
}
