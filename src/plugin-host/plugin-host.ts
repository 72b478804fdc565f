/** Runs packages: gives each its part of the service, and keeps a failing one from the others. */
import type { Logger } from 'pino';
import { LOG_EVENT } from '../core/log-events.js';
import type {
  CommandReply,
  FinishedSpan,
  LoadedPlugin,
  RunningPlugin,
  PluginServices,
  Tracer,
  TraceParent,
} from './api.js';

const NO_CONTEXT: TraceParent = '';

/** Forwards spans to a tracing package; without one they are dropped. */
export class ForwardingTracer implements Tracer {
  private target: Tracer | null = null;

  /** Spans go to this tracer from now on. */
  provide(target: Tracer): void {
    this.target = target;
  }

  /** Forwards the span; without a tracer it is dropped. */
  record(span: FinishedSpan): void {
    this.target?.record(span);
  }

  /** Forwards the request; without a tracer there is no context. */
  reserve(parent?: TraceParent): TraceParent {
    return this.target?.reserve(parent) ?? NO_CONTEXT;
  }
}

/** The packages of one controller. */
export class PluginHost {
  private readonly running = new Map<string, RunningPlugin>();
  private readonly failed = new Map<string, string>();

  constructor(
    packages: readonly LoadedPlugin[],
    service: (log: Logger) => PluginServices,
    private readonly log: Logger,
  ) {
    for (const { name, definition, options } of packages) {
      try {
        this.running.set(name, definition.start(service(log.child({ package: name })), options));
      } catch (error) {
        this.recordFailure(name, error);
      }
    }
  }

  /** Runs all packages; one that fails is named in `status` and the log, and the others go on. */
  async run(): Promise<void> {
    await Promise.all(
      [...this.running].map(async ([name, running]) => {
        try {
          await running.run();
        } catch (error) {
          this.recordFailure(name, error);
        }
      }),
    );
  }

  private recordFailure(name: string, error: unknown): void {
    this.failed.set(name, error instanceof Error ? error.message : String(error));
    this.log.error({ err: error, package: name }, LOG_EVENT.packageFailed);
  }

  /** The status of each package by name; `failed` holds the error of one that has ended. */
  status(): Record<string, object> {
    const statuses: Record<string, object> = {};
    for (const [name, running] of this.running) statuses[name] = running.status?.() ?? {};
    for (const [name, error] of this.failed) statuses[name] = { ...statuses[name], failed: error };
    return statuses;
  }

  /** Runs an operator's command. Null: there is no such package or command. */
  async command(name: string, command: string, body: unknown): Promise<CommandReply | null> {
    const commands = this.running.get(name)?.commands ?? {};
    const handler = Object.hasOwn(commands, command) ? commands[command] : undefined;
    return handler === undefined ? null : handler(body);
  }

  /** The metrics of all packages in the text format of Prometheus. */
  async metrics(): Promise<string> {
    const parts = await Promise.all(
      [...this.running.values()].map(async (running) => (await running.metrics?.()) ?? ''),
    );
    return parts.join('');
  }
}
