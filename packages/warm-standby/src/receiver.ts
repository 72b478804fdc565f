/** The standby's side of the messages: applies the logs of shards, and answers probes and prepare requests. */
import type { NodeName } from '../../../src/core/model/ids.js';
import type { CommittedShard, PluginServices } from '../../../src/plugin-host/api.js';
import type { Cluster } from './cluster.js';
import type { HolderMonitor } from './holder-monitor.js';
import { LOG_EVENT } from './log-events.js';
import {
  MessageError,
  TOPIC,
  decodeAppend,
  decodePrepare,
  decodeProbe,
  decodeSnapshot,
  encodeAcknowledgement,
  encodePrepareAnswer,
  encodeProbeAnswer,
  type Acknowledgement,
  type Append,
  type Prepare,
  type PrepareAnswer,
  type Snapshot,
} from './messages.js';
import type { Options } from './options.js';
import { Replica, type ReplicaOutcome } from './replica.js';

/** Part of the probe timeout that a witness waits for the holder, so that its own answer comes before the timeout. */
const WITNESS_TIMEOUT_FRACTION = 0.6;

/** Called when a planned handover of a shard was accepted; `traceParent` is the context of the handover's span. */
export type PreparedListener = (shard: NodeName, traceParent: string) => void;

/** Serves the plugin's topics to other controllers and keeps replicas of their shards' logs. */
export class Receiver {
  readonly replicas = new Map<NodeName, Replica>();
  /** Numbers of rejected replication messages since the start, by status. */
  readonly rejected = { malformed: 0, unsupported: 0, refused: 0, stale: 0 };
  bytesReceived = 0;

  constructor(
    private readonly service: PluginServices,
    private readonly cluster: Cluster,
    private readonly monitor: HolderMonitor,
    private readonly options: Options,
    private readonly onPrepared: PreparedListener,
  ) {
    const { channel } = service;
    channel.serve(TOPIC.append, (bytes, from) =>
      this.handleReplication(bytes, from, decodeAppend, (m) => this.append(m)),
    );
    channel.serve(TOPIC.snapshot, (bytes, from) =>
      this.handleReplication(bytes, from, decodeSnapshot, (m) => this.snapshot(m)),
    );
    channel.serve(TOPIC.probe, (bytes, from) => this.probe(bytes, from));
    channel.serve(TOPIC.prepare, (bytes, from) => Promise.resolve(this.prepare(bytes, from)));
  }

  /** Whether this controller's replica of the shard is warm under the shard's present epoch. */
  isWarm(shard: CommittedShard): boolean {
    const { max_lag_entries, max_lag_ms } = this.options.replication;
    return this.replicas.get(shard.name)?.isWarm(shard.epoch, max_lag_entries, max_lag_ms) === true;
  }

  /** Drops the replica of a shard that this controller now holds. */
  dropReplica(shard: NodeName): void {
    this.replicas.delete(shard);
  }

  private handleReplication<M extends Append | Snapshot>(
    bytes: Uint8Array,
    from: string,
    decode: (bytes: Uint8Array) => M,
    apply: (message: M) => ReplicaOutcome,
  ): Promise<Uint8Array> {
    this.bytesReceived += bytes.length;
    return Promise.resolve(encodeAcknowledgement(this.acknowledge(bytes, from, decode, apply)));
  }

  private acknowledge<M extends Append | Snapshot>(
    bytes: Uint8Array,
    from: string,
    decode: (bytes: Uint8Array) => M,
    apply: (message: M) => ReplicaOutcome,
  ): Acknowledgement {
    if (!this.cluster.domains.accepts(from)) return this.reject('refused');
    try {
      const message = decode(bytes);
      if (!this.cluster.isController(message.node) || !this.cluster.isController(message.shard))
        return this.reject('refused');
      const committedShard = this.service.committedState.shard(message.shard);
      // An epoch newer than this controller's view is not stale: the view may lag behind the sender's.
      if (committedShard !== null && message.epoch < committedShard.epoch) return this.reject('stale');
      const status = apply(message);
      if (status === 'stale') return this.reject('stale');
      this.monitor.recordArrival(message.node, this.service.clock.now());
      return { status, applied: this.replicas.get(message.shard)?.applied ?? 0 };
    } catch (error) {
      if (!(error instanceof MessageError)) throw error;
      this.service.log.info(
        { from, code: error.code, reason: error.message },
        LOG_EVENT.standbyMessageRejected,
      );
      return this.reject(error.code);
    }
  }

  private reject(status: keyof Receiver['rejected']): Acknowledgement {
    this.rejected[status]++;
    return { status, applied: 0 };
  }

  private replicaOf(shard: NodeName): Replica {
    const replica = this.replicas.get(shard) ?? new Replica(shard);
    this.replicas.set(shard, replica);
    return replica;
  }

  private append(message: Append): ReplicaOutcome {
    return this.replicaOf(message.shard).append(message, this.service.clock.now());
  }

  private snapshot(message: Snapshot): ReplicaOutcome {
    return this.replicaOf(message.shard).applySnapshotPart(message, this.service.clock.now());
  }

  private async probe(bytes: Uint8Array, from: string): Promise<Uint8Array | null> {
    if (!this.cluster.domains.accepts(from)) return null;
    const { node, channel, committedState } = this.service;
    const { holder, shard, epoch } = decodeProbe(bytes);
    const { probe_ms } = this.options.detection;
    const reaches =
      holder === node || (await channel.isAnswering(holder, probe_ms * WITNESS_TIMEOUT_FRACTION));
    const committedShard = committedState.shard(shard);
    const isWarmUnderEpoch =
      committedShard !== null && committedShard.epoch === epoch && this.isWarm(committedShard);
    const isStandby = isWarmUnderEpoch && this.cluster.standbysOf(committedShard).includes(node);
    const applied = isStandby ? (this.replicas.get(shard)?.applied ?? null) : null;
    return encodeProbeAnswer({ reaches, applied });
  }

  private prepare(bytes: Uint8Array, from: string): Uint8Array | null {
    if (!this.cluster.domains.accepts(from)) return null;
    const message = decodePrepare(bytes);
    const answer = this.answerPrepare(message);
    if (answer.accepted) this.onPrepared(message.shard, message.traceParent);
    return encodePrepareAnswer(answer);
  }

  private answerPrepare({ shard, epoch, head }: Prepare): PrepareAnswer {
    const { committedState, node } = this.service;
    const replica = this.replicas.get(shard);
    if (replica?.epoch !== epoch) return { accepted: false, reason: 'does not follow this slice' };
    if ((replica.applied ?? 0) < head) return { accepted: false, reason: 'is behind' };
    const session = committedState.sessions().find((s) => s.node === node);
    if (session === undefined) return { accepted: false, reason: 'has no session' };
    if (session.isDraining) return { accepted: false, reason: 'is about to end itself' };
    return { accepted: true, reason: '' };
  }
}
