import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';

/** A started process with the parsed first line of its output. */
export interface Child {
  readonly name: string;
  readonly process: ChildProcess;
  readonly ready: Record<string, unknown>;
  /** All lines that the process has printed. */
  readonly lines: string[];
}

const START_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 15_000;

/** Starts child processes and kills the remaining ones when this process exits. */
export class Launcher {
  readonly #children = new Set<ChildProcess>();

  constructor() {
    process.once('exit', () => this.killAll());
  }

  /**
   * Starts a Node program whose first line of output is JSON. The program inherits this process's
   * Node flags, so that one flag profiles all processes.
   *
   * @throws Error if the process exits first or prints no line within 20 s.
   */
  async start(name: string, script: string, args: readonly string[]): Promise<Child> {
    const child = spawn(process.execPath, [...process.execArgv, script, ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.#children.add(child);
    child.once('exit', () => this.#children.delete(child));
    const lines: string[] = [];
    const reader = createInterface({ input: child.stdout });
    const first = await new Promise<string>((resolve, reject) => {
      const timer = setTimeout(
        () => reject(new Error(`${name} printed no first line in time`)),
        START_TIMEOUT_MS,
      );
      reader.on('line', (line) => {
        lines.push(line);
        clearTimeout(timer);
        resolve(line);
      });
      child.once('exit', (code) =>
        reject(new Error(`${name} exited during startup with code ${code}`)),
      );
    });
    const ready = JSON.parse(first) as Record<string, unknown>;
    return { name, process: child, ready, lines };
  }

  /**
   * Sends a signal to a child and waits for its exit.
   *
   * @returns The exit code, or null if a signal ended the child.
   * @throws Error if the child is still running after 15 s.
   */
  async stop(child: Child, signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    const { process: proc } = child;
    if (proc.exitCode !== null || proc.signalCode !== null) return proc.exitCode;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => reject(new Error(`${child.name} did not exit in time after the signal`)),
        STOP_TIMEOUT_MS,
      );
      proc.once('exit', (code) => {
        clearTimeout(timer);
        resolve(code);
      });
      proc.kill(signal);
    });
  }

  /** Kills all children that are still running, including those whose start failed. */
  killAll(): void {
    for (const child of this.#children) child.kill('SIGKILL');
  }
}
