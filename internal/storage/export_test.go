package storage

// EncodeRecord lets tests write records with right checksums.
var EncodeRecord = encodeRecord
