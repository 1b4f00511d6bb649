/** Exports the view of the logs of work for tests of its handling of broken records. */
export { WorkTable } from './internal/work-table.js';
export { encodeJob } from './internal/job-record.js';
export { encodeLeader, encodeLearned, encodeOffer } from './internal/work-records.js';
