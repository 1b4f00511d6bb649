import type {
  CheckpointMessage,
  RenewMessage,
  StartMessage,
  StopMessage,
  ThrottleMessage,
  WorkerReport,
} from '@redwingcrank/protocol';

/**
 * A client of the workers. Every call is idempotent, and every answer is a report with the heartbeat
 * that the next start or renewal refers to. A call that throws may have taken effect.
 *
 * All methods throw PlatformError (402) if no answer arrives in time.
 */
export abstract class WorkerClient {
  abstract report(address: string): Promise<WorkerReport>;

  /** Starts an attempt, or renews its lease if it already runs. */
  abstract start(address: string, message: StartMessage): Promise<WorkerReport>;

  abstract renew(address: string, message: RenewMessage): Promise<WorkerReport>;

  /** Ends an attempt. After the answer, the attempt has ended and will never start. */
  abstract stop(address: string, message: StopMessage): Promise<WorkerReport>;

  abstract checkpoint(address: string, message: CheckpointMessage): Promise<WorkerReport>;

  abstract throttle(address: string, message: ThrottleMessage): Promise<WorkerReport>;
}
