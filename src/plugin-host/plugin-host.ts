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

/** Spans go nowhere where no package takes them. */
export class ForwardingTracer implements Tracer {
  private target: Tracer | null = null;

  provide(target: Tracer): void {
    this.target = target;
  }

  record(span: FinishedSpan): void {
    this.target?.record(span);
  }

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
      } catch (e) {
        this.noteFailure(name, e);
      }
    }
  }

  /** Runs all packages; one that fails is named in `status` and the log, and the others go on. */
  async run(): Promise<void> {
    await Promise.all(
      [...this.running].map(async ([name, running]) => {
        try {
          await running.run();
        } catch (e) {
          this.noteFailure(name, e);
        }
      }),
    );
  }

  private noteFailure(name: string, e: unknown): void {
    this.failed.set(name, e instanceof Error ? e.message : String(e));
    this.log.error({ err: e, package: name }, LOG_EVENT.packageFailed);
  }

  status(): Record<string, object> {
    const out: Record<string, object> = {};
    for (const [name, running] of this.running) out[name] = running.status?.() ?? {};
    for (const [name, error] of this.failed) out[name] = { ...out[name], failed: error };
    return out;
  }

  /** Null: there is no such command. */
  async command(name: string, command: string, body: unknown): Promise<CommandReply | null> {
    const commands = this.running.get(name)?.commands ?? {};
    const handler = Object.hasOwn(commands, command) ? commands[command] : undefined;
    return handler === undefined ? null : handler(body);
  }

  async metrics(): Promise<string> {
    const parts = await Promise.all([...this.running.values()].map(async (p) => (await p.metrics?.()) ?? ''));
    return parts.join('');
  }
}
