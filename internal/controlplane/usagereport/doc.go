// Package usagereport is the leader's task that reports usage to the platform. It sends one report for each window of
// true time, in order, and never two different reports for the same window.
//
// Some time after the end of a window, the [Task] collects the usage of the window from all control-plane servers, and
// drafts an outbox entry. Once the entry is committed, the report can't change any more, whichever server leads. A
// server that does not answer is asked again until half of the time has passed in which the report is due. The report
// is then sent without that server's usage, and is counted as partial.
package usagereport
