// Package usagereport is the leader's task of reporting usage to the platform: one report for each window of true
// time, in order, and never two that differ.
//
// Some time after a window has ended, the [Task] collects what all control-plane servers have of it, and drafts an
// entry for the outbox. Once that is committed, the report can't change any more, whoever leads. A server that does
// not answer is asked again until half of the time is over in which the report is due; then the report goes out
// without it, and a counter says so.
package usagereport
