/** The view of the work log by itself, for those who try what it does with broken records. */
export { WorkTable } from './internal/work-table.js';
export { encodeJob } from './internal/job-record.js';
export { encodeLeader, encodeLearned, encodeOffer } from './internal/work-records.js';
