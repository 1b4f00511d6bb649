/** The lines that the settings files of all nodes of a deployment share, by the sheets' bounds. */
const linesOf = (bounds) => [
  ...Object.entries(bounds).map(([name, value]) => `bounds.${name}=${value}`),
  'fault_tolerance.zones=1',
  'limits.cpu_share=0.27',
  'limits.cores=1',
];

/** What the sheets have in common. */
const COMMON = { max_hold_ms: 6_000, status_s: 120, grace_s: 6, lease_ms: 3_000 };

export const UPEPO_OPS = linesOf({
  ...COMMON,
  stop_timeout_ms: 900,
  drain_ms: 2_000,
  cancel_ms: 3_000,
  config_apply_ms: 2_000,
});

export const LSG_REDWING = linesOf({
  ...COMMON,
  stop_timeout_ms: 200,
  drain_ms: 3_000,
  cancel_ms: 4_000,
  config_apply_ms: 3_000,
});
