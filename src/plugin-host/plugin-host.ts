/** Runs plugins. A plugin that fails does not affect the controller or the other plugins. */
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

/** Forwards spans to the tracer of a tracing plugin; drops them if there is none. */
export class ForwardingTracer implements Tracer {
  private target: Tracer | null = null;

  /** Sets the tracer that spans are forwarded to. */
  provide(target: Tracer): void {
    this.target = target;
  }

  /** Forwards the span; drops it if there is no tracer. */
  record(span: FinishedSpan): void {
    this.target?.record(span);
  }

  /** Reserves a context with the tracer; returns an empty context if there is no tracer. */
  reserve(parent?: TraceParent): TraceParent {
    return this.target?.reserve(parent) ?? NO_CONTEXT;
  }
}

/** The plugins of one controller. */
export class PluginHost {
  private readonly running = new Map<string, RunningPlugin>();
  /** Error messages of failed plugins by name. */
  private readonly failures = new Map<string, string>();

  constructor(
    plugins: readonly LoadedPlugin[],
    servicesFor: (log: Logger) => PluginServices,
    private readonly log: Logger,
  ) {
    for (const { name, definition, options } of plugins) {
      try {
        this.running.set(name, definition.start(servicesFor(log.child({ package: name })), options));
      } catch (error) {
        this.recordFailure(name, error);
      }
    }
  }

  /** Runs all plugins. One that fails is logged and shown in `status`, and the others continue. */
  async run(): Promise<void> {
    await Promise.all(
      [...this.running].map(async ([name, plugin]) => {
        try {
          await plugin.run();
        } catch (error) {
          this.recordFailure(name, error);
        }
      }),
    );
  }

  private recordFailure(name: string, error: unknown): void {
    this.failures.set(name, error instanceof Error ? error.message : String(error));
    this.log.error({ err: error, package: name }, LOG_EVENT.pluginFailed);
  }

  /** The status of each plugin by name; the field `failed` has the error message of a plugin that has failed. */
  status(): Record<string, object> {
    const statuses: Record<string, object> = {};
    for (const [name, plugin] of this.running) statuses[name] = plugin.status?.() ?? {};
    for (const [name, error] of this.failures) statuses[name] = { ...statuses[name], failed: error };
    return statuses;
  }

  /** Runs an operator's command; null if the plugin or the command does not exist. */
  async command(name: string, command: string, body: unknown): Promise<CommandReply | null> {
    const commands = this.running.get(name)?.commands ?? {};
    const handler = Object.hasOwn(commands, command) ? commands[command] : undefined;
    return handler === undefined ? null : handler(body);
  }

  /** The metrics of all plugins in the Prometheus text format. */
  async metrics(): Promise<string> {
    const parts = await Promise.all(
      [...this.running.values()].map(async (plugin) => (await plugin.metrics?.()) ?? ''),
    );
    return parts.join('');
  }
}
