/**
 * What a package may use of the service, and what the service asks of a package. Packages know this interface and types of
 * the core; nothing of the service knows a package.
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

/** A shard as it is committed. */
export interface ShardFact {
  readonly name: NodeName;
  readonly holder: NodeName;
  readonly incarnation: Incarnation;
  /** The revision at which it got this holder: the fencing token of its machines. */
  readonly epoch: Version;
  /** Whether the session of this life of the holder is there. */
  readonly hasSession: boolean;
}

/** A controller's session as it is committed. */
export interface SessionFact {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  /** It gives up what it holds, and is given nothing. */
  readonly isDraining: boolean;
}

/** What is committed, as this controller's view has it; to be read only. */
export interface CommittedFacts {
  /** The view holds a complete picture. */
  readonly isReady: boolean;
  shards(): ShardFact[];
  shard(name: NodeName): ShardFact | null;
  sessions(): SessionFact[];
  machine(name: MachineName): MachineRecord | null;
  machinesOf(shard: NodeName): MachineRecord[];
  /** Whether the job is unfinished. */
  hasJob(job: JobId): boolean;
  /** This process holds the shard, and its view has all that was committed before it acquired it. */
  isHeldCompletely(shard: NodeName): boolean;
  /** Nothing suggests that the state service is out of reach. */
  isStateReachable(withinMs: number): boolean;
  subscribe(listener: (changes: ViewChanges) => void): void;
}

/** What became of an attempt to acquire or hand over a shard. */
export type ShardTransferOutcome =
  | { readonly kind: 'committed'; readonly revision: Revision }
  /** Another controller has changed the shard or a session meanwhile. */
  | { readonly kind: 'overtaken' }
  /** The state service did not answer, or this process has no session. The change may be applied yet. */
  | { readonly kind: 'unavailable' };

/** Changes the holders of shards, by guarded transactions only. */
export interface ShardControl {
  /** Acquires the shard and ends the session of its holder in one transaction, unless something has changed meanwhile. */
  failOver(shard: ShardFact): Promise<ShardTransferOutcome>;
  /** Hands shards that this process holds over to a controller with a session, and acquires nothing for `drainForMs`. */
  handOver(shards: readonly ShardFact[], to: NodeName, drainForMs: number): Promise<ShardTransferOutcome>;
}

/** Another controller. */
export interface PeerInfo {
  readonly node: NodeName;
  readonly zone: string;
  /** Host and port of its link for controllers. */
  readonly address: string;
}

/** Answers a question of another controller; null: not answered. `from` is the sender's IP address. */
export type TopicHandler = (payload: Uint8Array, from: string) => Promise<Uint8Array | null>;

/** Questions and answers between the packages of controllers. */
export interface PeerChannel {
  /** The answer, or null where none came in time or the peer does not know the topic. */
  ask(node: NodeName, topic: string, payload: Uint8Array, timeoutMs: number): Promise<Uint8Array | null>;
  /** Whether the controller answers at all, of whatever version it is. */
  isAnswering(node: NodeName, timeoutMs: number): Promise<boolean>;
  serve(topic: string, handler: TopicHandler): void;
}

/** What another controller has learned; it costs time where it is missing, and breaks nothing where it is wrong. */
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

/** The part of the service that a package may use. */
export interface PluginServices {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  readonly settings: PlatformSettings;
  readonly peers: readonly PeerInfo[];
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
  readonly facts: CommittedFacts;
  readonly shardControl: ShardControl;
  readonly channel: PeerChannel;
  /** Learns what another controller has learned. */
  learn(hint: Hint): void;
  onEvent(listener: EventListener): void;
  /** Opens spans where a tracing package is enabled; see `Tracer`. */
  readonly tracer: Tracer;
  /** Makes this process's spans go to a tracing package. */
  provideTracer(tracer: Tracer): void;
}

/** Where a span belongs, in the form of the W3C trace context; empty without tracing. */
export type TraceParent = string;

/** Spans as packages record them: after the fact, with their times on the monotonic clock. */
export interface Tracer {
  /** Records a span that has ended. */
  record(span: FinishedSpan): void;
  /** A context for a span that is recorded later, so that others can name it as their parent before. */
  reserve(parent?: TraceParent): TraceParent;
}

/** A span with its times on the monotonic clock. */
export interface FinishedSpan {
  readonly name: string;
  readonly startMs: number;
  readonly endMs: number;
  readonly parent?: TraceParent | undefined;
  /** The context that was reserved for it, if one was. */
  readonly self?: TraceParent;
  readonly attributes?: Readonly<Record<string, string | number | boolean>>;
}

/** The answer to an operator's command. */
export interface CommandReply {
  readonly status: 200 | 400 | 409 | 503;
  readonly body: object;
}

/** A package that runs. */
export interface RunningPlugin {
  /** Runs until the process ends. */
  run(): Promise<void>;
  /** Its part of what `status` shows. */
  status?(): object;
  /** Operators' commands by name. */
  readonly commands?: Readonly<Record<string, (body: unknown) => Promise<CommandReply>>>;
  /** Metrics in the text format of Prometheus. */
  metrics?(): Promise<string>;
}

/** What the file of a package exports as `servicePackage`. */
export interface PluginDefinition<Options = unknown> {
  /** What its section of the operators' file may hold, with defaults. */
  readonly schema: TSchema;
  /** The first thing wrong with options that fit the schema, with its path, or null. */
  validate(options: Options, settings: PlatformSettings): string | null;
  start(service: PluginServices, options: Options): RunningPlugin;
}

/** A package with its checked options. */
export interface LoadedPlugin {
  readonly name: string;
  readonly definition: PluginDefinition;
  readonly options: unknown;
}
