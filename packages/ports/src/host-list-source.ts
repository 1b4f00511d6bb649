import type { HostList } from '@redwingcrank/protocol';

/** The platform's list of live and leaving hosts, which lags behind their actual state. */
export abstract class HostListSource {
  /** @throws PlatformError (402) if the list cannot be fetched. */
  abstract list(): Promise<HostList>;
}
