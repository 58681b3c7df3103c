package storage

// EncodeRecord lets tests write records with valid checksums.
var EncodeRecord = encodeRecord
