package confsync

import "dandelionsill.org/base/metrics"

var (
	exchangesOut      = metrics.Counter("confsync_exchanges_out_total")
	exchangesFailed   = metrics.Counter("confsync_exchanges_failed_total")
	exchangesIn       = metrics.Counter("confsync_exchanges_in_total")
	exchangeBytes     = metrics.Counter("confsync_exchange_message_bytes_total") // in both directions, without HTTP/2 overhead
	revisionsPushed   = metrics.Counter("confsync_revisions_pushed_total")
	revisionsRefused  = metrics.Counter("confsync_revisions_refused_total")  // from peers: altered, unsigned or from another history
	revisionsRejected = metrics.Counter("confsync_revisions_rejected_total") // from the log: lost to a concurrent commit, or invalid signature
	logReads          = metrics.Counter("confsync_log_reads_total")
	logReadsFailed    = metrics.Counter("confsync_log_reads_failed_total")
	logReadBytes      = metrics.Counter("confsync_log_read_bytes_total")
	logGaps           = metrics.Counter("confsync_log_gaps_total")
	logAppends        = metrics.Counter("confsync_log_appends_total")
	logAppendsFailed  = metrics.Counter("confsync_log_appends_failed_total")
	reappends         = metrics.Counter("confsync_reappends_total")
	vmListFailed      = metrics.Counter("confsync_vm_list_failed_total")
)
