import type { HostList } from '@redwingcrank/protocol';

/** The platform's list of live and leaving hosts, which lags. */
export abstract class HostListSource {
  /** @throws PlatformError (402) where the list cannot be had. */
  abstract list(): Promise<HostList>;
}
