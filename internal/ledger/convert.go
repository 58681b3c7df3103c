package ledger

import (
	"godwityoke.example/godwityoke/internal/ledger/ledgerpb"
	"godwityoke.example/godwityoke/internal/request"
)

func keyToProto(key Key) *ledgerpb.Key {
	return &ledgerpb.Key{Team: key.Team, Service: key.Service, Value: key.Value}
}

func keyFromProto(key *ledgerpb.Key) Key {
	return Key{Team: key.GetTeam(), Service: key.GetService(), Value: key.GetValue()}
}

func recordToProto(record Record) *ledgerpb.Record {
	return &ledgerpb.Record{
		Outcome:     string(record.Outcome),
		Status:      int32(record.Status),
		ContentType: record.ContentType,
		Body:        record.Body,
	}
}

func recordFromProto(record *ledgerpb.Record) *Record {
	return &Record{
		Outcome:     request.Outcome(record.GetOutcome()),
		Status:      int(record.GetStatus()),
		ContentType: record.GetContentType(),
		Body:        record.GetBody(),
	}
}

func holdersToProto(holders []HolderVM) []*ledgerpb.Holder {
	converted := make([]*ledgerpb.Holder, len(holders))
	for i, holder := range holders {
		converted[i] = &ledgerpb.Holder{MemberId: holder.MemberID, Address: holder.Address}
	}
	return converted
}

func holdersFromProto(holders []*ledgerpb.Holder) []HolderVM {
	converted := make([]HolderVM, len(holders))
	for i, holder := range holders {
		converted[i] = HolderVM{MemberID: holder.GetMemberId(), Address: holder.GetAddress()}
	}
	return converted
}
