/**
 * Whether the requested work has run, as stated by a refusal or an error.
 *
 * - `not-run`: it certainly did not run, so a retry is safe.
 * - `unknown`: it may have run, and only the caller can find out.
 * - `ran`: it ran, but its answer could not be delivered completely.
 */
export type Outcome = 'not-run' | 'unknown' | 'ran';

/** One row of the table of result codes in docs/CODES.md. */
export interface ResultCode {
  readonly code: number;
  readonly name: string;
  /** The HTTP status sent with the code; 0 if the code is never sent over HTTP. */
  readonly status: number;
  readonly summary: string;
  /** The recommended reaction, shown in docs/CODES.md and by the command line. */
  readonly action: string;
}

const row = (
  code: number,
  name: string,
  status: number,
  summary: string,
  action: string,
): ResultCode => ({ code, name, status, summary, action });

/**
 * All numbered result codes. The hundreds digit shows where a code arises: 1xx settings and command
 * line, 2xx manifest, 3xx request path, 4xx platform, 5xx scheduling, 6xx job interface.
 */
export const RESULT_CODES = {
  badSettings: row(
    101,
    'bad-settings',
    0,
    'A setting is missing or wrong.',
    'Correct every line that is listed.',
  ),
  nodeUnreachable: row(
    102,
    'node-unreachable',
    0,
    'No node answered on its administration address.',
    'Check the address and that the node runs.',
  ),
  notInForce: row(
    103,
    'not-in-force',
    0,
    'Some nodes did not report the manifest in force in time.',
    'Check the health of the nodes that are named.',
  ),
  badAdminRequest: row(
    104,
    'bad-admin-request',
    400,
    'The administration request is malformed.',
    'Compare the request with the API description.',
  ),
  notFound: row(
    105,
    'not-found',
    404,
    'There is no such resource.',
    'Check the name against the lists.',
  ),
  unauthorized: row(
    106,
    'unauthorized',
    401,
    'The key is missing or not one that this node accepts.',
    'Set REDWINGCRANK_ADMIN_KEYS (operators) or REDWINGCRANK_PEER_KEYS (nodes).',
  ),
  readOnly: row(
    107,
    'read-only',
    405,
    'The administration API takes GET alone.',
    'Publish a manifest to change anything.',
  ),
  badPeerMessage: row(
    108,
    'bad-peer-message',
    400,
    'A message between nodes lacks a field or has a wrong one.',
    'Compare the releases of the two nodes in status.',
  ),
  manifestInvalid: row(
    201,
    'manifest-invalid',
    422,
    'The manifest breaks its schema.',
    'Correct every field that is listed.',
  ),
  manifestConflict: row(
    202,
    'manifest-conflict',
    409,
    'Another manifest replaced the same base first.',
    'Fetch the manifest in force, rebase and publish again.',
  ),
  noSuchService: row(
    301,
    'no-such-service',
    404,
    'No service in the manifest has this path.',
    'Check the path against the manifest.',
  ),
  noEndpoint: row(
    302,
    'no-endpoint',
    503,
    'No endpoint of the service can be reached.',
    'Retry after the time in Retry-After.',
  ),
  overloaded: row(
    303,
    'overloaded',
    503,
    'The request cannot be served within its deadline.',
    'Retry after the time in Retry-After.',
  ),
  deadlineExceeded: row(
    304,
    'deadline-exceeded',
    504,
    'The deadline passed before an answer came.',
    'Check the outcome before sending it again.',
  ),
  answerLost: row(
    305,
    'answer-lost',
    502,
    'The connection was lost after the request was sent.',
    'Look up whether it ran before sending it again.',
  ),
  requestTooLarge: row(
    306,
    'request-too-large',
    413,
    'The request body is larger than the limit.',
    'Send a smaller body.',
  ),
  badRequest: row(
    307,
    'bad-request',
    400,
    'A header of the request is malformed.',
    'Correct the header that is named.',
  ),
  draining: row(
    308,
    'draining',
    503,
    'This entry host is shutting down.',
    'Send it to another entry host.',
  ),
  keyNotRemembered: row(
    309,
    'key-not-remembered',
    503,
    'The key may be older than what its home remembers, so it was not sent again.',
    'If this was the first send, send it with a new key; else look up whether it ran.',
  ),
  keyReused: row(
    310,
    'key-reused',
    422,
    'The idempotency key belongs to a request with other content.',
    'Use a new key for each new request.',
  ),
  answerNotKept: row(
    311,
    'answer-not-kept',
    502,
    'The key has run once, but its answer is no longer kept.',
    'Look up the result; do not send it again.',
  ),
  keyHomeUnreachable: row(
    312,
    'key-home-unreachable',
    503,
    'The entry host that remembers the key cannot be reached.',
    'If this was the first send, send it with a new key; else look up whether it ran.',
  ),
  logUnavailable: row(
    401,
    'log-unavailable',
    503,
    "The platform's log did not answer.",
    'Wait; requests are still served without it.',
  ),
  workerUnavailable: row(
    402,
    'worker-unavailable',
    503,
    'A worker did not answer.',
    'Wait; the task is started elsewhere once that is safe.',
  ),
  recordsLost: row(
    403,
    'records-lost',
    410,
    'Records expired before they were read.',
    'Start again from a snapshot.',
  ),
  neverFits: row(
    501,
    'never-fits',
    0,
    'No host is large enough for the task.',
    'Lower its resources or add a larger host.',
  ),
  noRoom: row(
    502,
    'no-room',
    0,
    'Every host that is large enough is full.',
    'Wait, or free capacity.',
  ),
  jobAccepted: row(600, 'accepted', 200, 'What was asked for is stored, or shown.', 'Nothing.'),
  badJob: row(
    601,
    'bad-job',
    400,
    'The submitted job is malformed.',
    'Correct every fault that is listed.',
  ),
  noSuchQueue: row(
    602,
    'no-such-queue',
    404,
    'No queue of this name is configured.',
    'Check the name against the configuration in force.',
  ),
  noSuchJob: row(
    603,
    'no-such-job',
    410,
    'No job of this id is known, or it is long over.',
    'Check the id and its queue.',
  ),
  idReused: row(
    604,
    'id-reused',
    409,
    'The id stands for another job already.',
    'Choose a new id for a new job.',
  ),
  storeUnavailable: row(
    605,
    'store-unavailable',
    503,
    "This node cannot reach the platform's store; nothing was stored.",
    'Send it to another node, or retry after one second.',
  ),
  unknownOutcome: row(
    606,
    'unknown-outcome',
    504,
    'No answer of the store came in time; it may have been stored.',
    'Retry with the same id; this does not create a second job.',
  ),
  badCall: row(
    607,
    'bad-call',
    400,
    'The path or method of the call is none of this interface.',
    'Compare the call with docs/OPERATIONS.md.',
  ),
  longWait: row(
    608,
    'long-wait',
    503,
    'Too many jobs wait for their turn; nothing was stored.',
    'Retry after the time in Retry-After.',
  ),
  evacuated: row(
    609,
    'evacuated',
    503,
    'Only evacuated data centres could run the job; nothing was stored.',
    'Retry after the time in Retry-After, or ask the operators who had them evacuated.',
  ),
} as const satisfies Record<string, ResultCode>;

/** The key of a result code in {@link RESULT_CODES}. */
export type ResultCodeKey = keyof typeof RESULT_CODES;
