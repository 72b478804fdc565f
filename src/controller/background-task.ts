/** Asynchronous work that a loop starts without waiting for it, with at most one run in progress. */
import type { Logger } from 'pino';

/** How a background task reports failures. */
export interface BackgroundTaskOptions {
  readonly log: Logger;
  /** Text of the log line for a failed run. */
  readonly failureEvent: string;
}

/** Runs asynchronous work without its caller waiting for it; a failure is logged, and the work may be started again. */
export class BackgroundTask {
  private running = false;

  constructor(private readonly options: BackgroundTaskOptions) {}

  /** Whether a run is in progress. */
  get isRunning(): boolean {
    return this.running;
  }

  /** Starts the work and returns at once; does nothing while an earlier run is in progress. */
  start(work: () => Promise<void>): void {
    if (this.running) return;
    this.running = true;
    void work()
      .catch((error: unknown) => {
        this.options.log.error({ err: error }, this.options.failureEvent);
      })
      .finally(() => {
        this.running = false;
      });
  }
}
