/** Work that runs beside a loop, at most once at a time. */
import type { Logger } from 'pino';

/** How a task reports its failures. */
export interface BackgroundTaskOptions {
  readonly log: Logger;
  /** The event that is logged when the work fails. */
  readonly failureEvent: string;
}

/** Runs asynchronous work without its caller waiting for it; a failure is logged, and the work may be started again. */
export class BackgroundTask {
  private running = false;

  constructor(private readonly options: BackgroundTaskOptions) {}

  /** Whether work has been started that has not ended yet. */
  get isRunning(): boolean {
    return this.running;
  }

  /** Starts the work unless other work is running. */
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
