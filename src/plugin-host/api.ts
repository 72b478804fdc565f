/**
 * The interface between the service and its plugins. A plugin is built from a package under packages/ and
 * enabled by a section `[packages.NAME]` of the operators' settings. Plugins depend on this interface and on
 * types of the core; the service depends on no plugin.
 */
import type { TSchema } from '@sinclair/typebox';
import type { Logger } from 'pino';
import type { PlatformSettings } from '../config/platform-settings.js';
import type { EventListener } from '../core/events.js';
import type { TaskRun } from '../core/health/slow-machine-detector.js';
import type { Clock } from '../core/model/clock.js';
import type { ExitReason } from '../core/model/heartbeats.js';
import type {
  Incarnation,
  JobId,
  MachineName,
  NodeName,
  Revision,
  FencingToken,
  Version,
} from '../core/model/ids.js';
import type { MachineRecord } from '../core/model/machines.js';
import type { ViewChanges } from '../core/state/view-changes.js';

/** A shard's committed record. */
export interface CommittedShard {
  readonly name: NodeName;
  readonly holder: NodeName;
  readonly incarnation: Incarnation;
  /** The revision at which the holder got the shard; it is the fencing token of the shard's machines. */
  readonly epoch: Version;
  /** Whether the holder has a session under this incarnation. */
  readonly hasSession: boolean;
}

/** The committed record of a controller's session. */
export interface CommittedSession {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  /**
   * Whether the controller hands over its shards and is about to shut down; it is assigned shards only if no other
   * controller can take them.
   */
  readonly isDraining: boolean;
}

/** Read access to the committed records in this controller's view. */
export interface CommittedState {
  /** Whether the view is complete. */
  readonly isReady: boolean;
  shards(): CommittedShard[];
  /** The shard of that name; null if it has no record. */
  shard(name: NodeName): CommittedShard | null;
  sessions(): CommittedSession[];
  /** The machine of that name; null if it has no record. */
  machine(name: MachineName): MachineRecord | null;
  machinesOf(shard: NodeName): MachineRecord[];
  /** Whether the job is unfinished. */
  hasJob(job: JobId): boolean;
  /**
   * Whether this process holds the shard and its view contains everything that was committed before the acquisition.
   */
  isHeldCompletely(shard: NodeName): boolean;
  /**
   * Whether the state service counts as reachable: no request to it has failed since the latest answered one was sent,
   * or that one was sent less than `withinMs` milliseconds ago.
   */
  isStateReachable(withinMs: number): boolean;
  /** Calls the listener after each change of the view. */
  subscribe(listener: (changes: ViewChanges) => void): void;
}

/** The outcome of an attempt to acquire or hand over shards. */
export type ShardTransferOutcome =
  | { readonly kind: 'committed'; readonly revision: Revision }
  /** Another controller changed a shard or a session in the meantime. */
  | { readonly kind: 'overtaken' }
  /** The state service did not answer, or this process has no session. The change may still be applied. */
  | { readonly kind: 'unavailable' };

/** Changes the holders of shards, only in transactions that are guarded on the records as they were read. */
export interface ShardControl {
  /** Acquires the shard and ends its holder's session in one transaction; changes nothing if a record has changed. */
  failOver(shard: CommittedShard): Promise<ShardTransferOutcome>;
  /**
   * Hands shards that this process holds over to a controller that has a session, and marks this process as draining
   * for `drainForMs`.
   */
  handOver(
    shards: readonly CommittedShard[],
    to: NodeName,
    drainForMs: number,
  ): Promise<ShardTransferOutcome>;
}

/** Another controller of the cluster. */
export interface PeerInfo {
  readonly node: NodeName;
  readonly zone: string;
  /** Host and port at which it listens for other controllers. */
  readonly address: string;
}

/** Handles another controller's request and returns the reply, null for none. `from` is the sender's IP address. */
export type TopicHandler = (payload: Uint8Array, from: string) => Promise<Uint8Array | null>;

/** Requests and replies between the plugins of different controllers. */
export interface PeerChannel {
  /** Sends a request. Returns the reply; null if none came in time or the peer has no handler for the topic. */
  ask(node: NodeName, topic: string, payload: Uint8Array, timeoutMs: number): Promise<Uint8Array | null>;
  /** Whether the controller answers within the timeout, also if its version has no such plugin. */
  isAnswering(node: NodeName, timeoutMs: number): Promise<boolean>;
  /** Registers the handler for requests under a topic. */
  serve(topic: string, handler: TopicHandler): void;
}

/** An observation of another controller. A missing hint delays decisions; a wrong one does not affect correctness. */
export type Hint =
  | {
      readonly kind: 'agent';
      readonly machine: MachineName;
      readonly address: string;
      readonly agentEpoch: number;
      readonly sequence: number;
      readonly token: FencingToken;
    }
  | {
      readonly kind: 'job_failing';
      readonly job: JobId;
      readonly rounds: number;
      readonly why: Extract<ExitReason, 'error' | 'unknown'>;
      readonly machines: readonly MachineName[];
      readonly retryInMs: number;
    }
  | { readonly kind: 'task_ran'; readonly machine: MachineName; readonly run: TaskRun };

/** The part of the service that a plugin may use. */
export interface PluginServices {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  readonly settings: PlatformSettings;
  readonly peers: readonly PeerInfo[];
  readonly clock: Clock;
  /** Returns a random number, uniform in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
  readonly committedState: CommittedState;
  readonly shardControl: ShardControl;
  readonly channel: PeerChannel;
  /** Applies an observation of another controller. */
  applyHint(hint: Hint): void;
  /** Subscribes to the events of this controller. */
  onEvent(listener: EventListener): void;
  /** Records spans through the tracing plugin; drops them if none is enabled. */
  readonly tracer: Tracer;
  /** Sets the tracer to which the spans of this process are forwarded; called by a tracing plugin. */
  provideTracer(tracer: Tracer): void;
}

/** The context of a span as a W3C `traceparent` value; empty if there is no tracer. */
export type TraceParent = string;

/** Records spans after they have ended, with times of the monotonic clock. */
export interface Tracer {
  /** Records a span that has ended. */
  record(span: FinishedSpan): void;
  /** Reserves a context for a span that is recorded later, so that others can refer to it as their parent before. */
  reserve(parent?: TraceParent): TraceParent;
}

/** A span that has ended, with its times on the monotonic clock. */
export interface FinishedSpan {
  readonly name: string;
  readonly startMs: number;
  readonly endMs: number;
  readonly parent?: TraceParent | undefined;
  /** The context that `Tracer.reserve` returned for this span; absent if none was reserved. */
  readonly context?: TraceParent;
  readonly attributes?: Readonly<Record<string, string | number | boolean>>;
}

/** The reply to an operator's command: HTTP status and JSON body. */
export interface CommandReply {
  readonly status: 200 | 400 | 409 | 503;
  readonly body: object;
}

/** A started plugin. */
export interface RunningPlugin {
  /** Runs until the process ends; a rejection marks the plugin as failed. */
  run(): Promise<void>;
  /** The plugin's section of the controller's status. */
  status?(): object;
  /** Operators' commands by name. */
  readonly commands?: Readonly<Record<string, (body: unknown) => Promise<CommandReply>>>;
  /** The plugin's metrics in the Prometheus text format. */
  metrics?(): Promise<string>;
}

/** The definition that the file of a plugin exports under the name `servicePackage`. */
export interface PluginDefinition<Options = unknown> {
  /** JSON schema of its section in the operators' settings, with defaults. */
  readonly schema: TSchema;
  /**
   * Checks options that fit the schema. Returns the first error, which starts with the option's path; null if valid.
   */
  validate(options: Options, settings: PlatformSettings): string | null;
  /** Creates the plugin; an exception marks it as failed. */
  start(services: PluginServices, options: Options): RunningPlugin;
}

/** A plugin with its validated options. */
export interface LoadedPlugin {
  readonly name: string;
  readonly definition: PluginDefinition;
  readonly options: unknown;
}
