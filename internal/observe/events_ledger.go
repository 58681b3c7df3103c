package observe

import "github.com/rs/zerolog"

// Events 2400 to 2499: the claim records of idempotency keys.
var (
	LedgerEpochStarted = newEvent(2400, "ledger_epoch_started", zerolog.InfoLevel,
		"The set of control VMs that store claim records changed. No action.")
	LedgerRepaired = newEvent(2401, "ledger_repaired", zerolog.InfoLevel,
		"This VM, new among those that store claim records, has merged the records of the previous ones and now grants claims. No action.")
	LedgerRepairWaits = newEvent(2402, "ledger_repair_waits", zerolog.WarnLevel,
		"This VM, new among those that store claim records, cannot reach a majority of the previous ones and grants no claims until it does. Bring those VMs back.")
	LedgerWriteFailed = newEvent(2403, "ledger_write_failed", zerolog.ErrorLevel,
		"Claim records could not be written to disk, so this VM grants no more claims. Check the disk and its free space, then restart the process.")
	LedgerRecordCut = newEvent(2404, "ledger_record_cut", zerolog.WarnLevel,
		"The file of claim records ended in an incomplete record, which was removed. Expected after a crash; the record was never acknowledged, so no data is lost. No action.")
)
