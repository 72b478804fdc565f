/**
 * The holder's loop: keeps the decision log of each shard that this process holds and sends it to the shard's standbys. A
 * standby that is slow or unreachable falls behind; the holder's work never waits for it.
 */
import type { NodeName } from '../../../src/core/model/ids.js';
import type { MonotonicMs } from '../../../src/core/model/time.js';
import type { CommittedShard, PluginServices } from '../../../src/plugin-host/api.js';
import { ByteBudget } from './byte-budget.js';
import type { Cluster } from './cluster.js';
import { DecisionLog } from './decision-log.js';
import { entryOf, type LogEntry, type RecordedEntry } from './log-entries.js';
import { LOG_EVENT } from './log-events.js';
import {
  TOPIC,
  decodeAcknowledgement,
  encodeAppend,
  encodeSnapshot,
  entrySize,
  readAnswer,
  type Acknowledgement,
} from './messages.js';
import type { Options } from './options.js';

/** Maximum size of the entries in one message; a frame between controllers is limited to 64 KiB. */
const MAX_MESSAGE_BYTES = 32 * 1024;
/** Pause after the first message without an answer; it doubles with each further one, up to `MAX_RETRY_MS`. */
const MIN_RETRY_MS = 300;
const MAX_RETRY_MS = 3000;
/** Pause after a standby has rejected a message, for instance because it does not know the format or this controller. */
const REJECTED_RETRY_MS = 30_000;
/** Interval at which entries about machines and jobs that no longer exist are removed. */
const PRUNE_INTERVAL_MS = 10_000;

/** Replication to a standby: `silent` if the latest message had no answer, else by the status of the latest answer. */
export type FollowerStatus = 'new' | 'following' | 'silent' | Exclude<Acknowledgement['status'], 'applied'>;

/** What the holder knows of a standby of one shard. */
export class Follower {
  /** Number of the last entry that the standby has acknowledged. */
  acknowledged = 0;
  status: FollowerStatus = 'new';
  bytesSent = 0;
  needsSnapshot = false;
  /** Whether a message is under way: the next one is sent after its answer. */
  isSending = false;
  /** Monotonic time before which nothing is sent. */
  nextSendAt = Number.NEGATIVE_INFINITY;
  consecutiveFailures = 0;
  readonly budget: ByteBudget;

  constructor(
    readonly node: NodeName,
    bytesPerSecond: number,
  ) {
    this.budget = new ByteBudget(bytesPerSecond);
  }

  /** Records an answer; null if none came or it could not be decoded. */
  recordAnswer(answer: Acknowledgement | null, now: MonotonicMs): void {
    if (answer === null) {
      this.status = 'silent';
      this.nextSendAt = now + Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** this.consecutiveFailures);
      this.consecutiveFailures++;
      return;
    }
    this.consecutiveFailures = 0;
    this.status = answer.status === 'applied' ? 'following' : answer.status;
    if (answer.status === 'applied') this.acknowledged = answer.applied;
    else if (answer.status === 'gap') this.needsSnapshot = true;
    else this.nextSendAt = now + REJECTED_RETRY_MS;
  }
}

/** A shard's log with its followers. */
export interface PublishedShard {
  readonly log: DecisionLog;
  readonly followers: Map<NodeName, Follower>;
}

/** Splits entries into parts of at most `maxBytes` each, or of one larger entry; yields at least one part. */
function* splitBySize(entries: readonly LogEntry[], maxBytes: number): Generator<LogEntry[]> {
  let part: LogEntry[] = [];
  let partBytes = 0;
  for (const entry of entries) {
    const entryBytes = entrySize(entry);
    if (part.length > 0 && partBytes + entryBytes > maxBytes) {
      yield part;
      part = [];
      partBytes = 0;
    }
    part.push(entry);
    partBytes += entryBytes;
  }
  yield part;
}

/** The first entries that fit into `maxBytes`; at least one, if there are any. */
function firstPart(entries: readonly LogEntry[], maxBytes: number): readonly LogEntry[] {
  for (const part of splitBySize(entries, maxBytes)) return part;
  return [];
}

/** Sends decision logs to standbys. */
export class Publisher {
  readonly shards = new Map<NodeName, PublishedShard>();
  /** Bytes of replication messages sent since the start. */
  bytesSent = 0;
  /** Snapshots begun since the start. */
  snapshotsSent = 0;
  private prunedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly service: PluginServices,
    private readonly cluster: Cluster,
    private readonly options: Options['replication'],
  ) {
    service.onEvent((event) => {
      const { clock } = service;
      const recorded = entryOf(event, { monotonic: clock.now(), wallClock: clock.wallClock() });
      if (recorded !== null) this.record(recorded);
    });
  }

  /** Sends heartbeats and entries periodically; never returns, but rejects on an unexpected error. */
  async run(): Promise<never> {
    for (;;) {
      this.updateShards();
      await this.service.clock.sleep(this.options.heartbeat_ms);
    }
  }

  /** Starts the log of a shard that was just taken over with the entries that its former holder replicated. */
  seedLog(shard: CommittedShard, entries: readonly LogEntry[]): void {
    const { log } = this.publish(shard);
    for (const entry of entries) log.append(entry);
  }

  /** Waits until the standby has the shard's whole log; false if it has not after `forMs`, or no longer follows. */
  async waitUntilCaughtUp(shard: CommittedShard, node: NodeName, forMs: number): Promise<boolean> {
    const { clock } = this.service;
    const until = clock.now() + forMs;
    for (;;) {
      const published = this.shards.get(shard.name);
      const follower = published?.followers.get(node);
      if (published?.log.epoch !== shard.epoch || follower === undefined) return false;
      if (follower.status === 'following' && follower.acknowledged === published.log.head) return true;
      if (clock.now() >= until) return false;
      this.send(published, follower);
      await clock.sleep(this.options.heartbeat_ms / 10);
    }
  }

  private updateShards(): void {
    if (!this.service.committedState.isReady) return;
    const held = this.cluster.heldShards();
    const names = new Set(held.map((s) => s.name));
    for (const shard of this.shards.keys()) if (!names.has(shard)) this.shards.delete(shard);
    for (const shard of held) this.updateFollowers(this.publish(shard), shard);
    this.prune();
  }

  private publish(shard: CommittedShard): PublishedShard {
    let published = this.shards.get(shard.name);
    if (published?.log.epoch !== shard.epoch) {
      const log = new DecisionLog(shard.name, shard.epoch, this.options.tail_entries);
      // The shard's record may be rewritten with the same holder: the new epoch's log begins with the present state.
      for (const entry of published?.log.state.entries() ?? []) log.append(entry);
      published = { log, followers: new Map() };
      this.shards.set(shard.name, published);
    }
    return published;
  }

  private updateFollowers(published: PublishedShard, shard: CommittedShard): void {
    const standbys = this.cluster.standbysOf(shard);
    for (const node of published.followers.keys())
      if (!standbys.includes(node)) published.followers.delete(node);
    for (const node of standbys) {
      const follower = published.followers.get(node) ?? new Follower(node, this.options.bytes_per_s);
      published.followers.set(node, follower);
      this.send(published, follower);
    }
  }

  private record({ subject, entry }: RecordedEntry): void {
    if (subject.kind === 'job') {
      for (const { log } of this.shards.values()) log.append(entry);
      return;
    }
    const owner = this.service.committedState.machine(subject.machine)?.owner;
    if (owner !== undefined) this.shards.get(owner)?.log.append(entry);
  }

  private prune(): void {
    const { committedState, clock } = this.service;
    if (clock.now() - this.prunedAt < PRUNE_INTERVAL_MS) return;
    this.prunedAt = clock.now();
    for (const [shard, { log }] of this.shards)
      log.state.prune({
        hasMachine: (name) => committedState.machine(name)?.owner === shard,
        hasJob: (job) => committedState.hasJob(job),
      });
  }

  /** Sends what the standby lacks, or a heartbeat, unless a message is under way or the retry pause lasts. */
  private send(published: PublishedShard, follower: Follower): void {
    const { clock, log } = this.service;
    if (follower.isSending || clock.now() < follower.nextSendAt) return;
    follower.isSending = true;
    const sent = follower.needsSnapshot
      ? this.sendSnapshot(published.log, follower)
      : this.sendEntries(published.log, follower);
    sent
      .catch((error: unknown) => {
        log.error({ err: error, standby: follower.node }, LOG_EVENT.replicationFailed);
        follower.recordAnswer(null, clock.now());
      })
      .finally(() => {
        follower.isSending = false;
        const isBehind = follower.status === 'following' && follower.acknowledged < published.log.head;
        const isCurrent = this.shards.get(published.log.shard) === published;
        // Remaining entries are sent at once while the budget lasts, otherwise with the next heartbeat.
        if (isBehind && isCurrent && follower.budget.available(clock.now()) > 0)
          this.send(published, follower);
      });
  }

  private async sendEntries(log: DecisionLog, follower: Follower): Promise<void> {
    const { node, clock } = this.service;
    const batch = log.after(follower.acknowledged, this.options.batch_entries);
    if (batch === null) {
      follower.needsSnapshot = true;
      return this.sendSnapshot(log, follower);
    }
    // Without budget only a heartbeat is sent: its `head` tells the standby how far it is behind.
    const maxBytes = Math.min(MAX_MESSAGE_BYTES, follower.budget.available(clock.now()));
    const entries = maxBytes > 0 ? firstPart(batch.entries, maxBytes) : [];
    const { shard, epoch, head } = log;
    const payload = encodeAppend({ node, shard, epoch, first: batch.first, entries, head });
    await this.exchange(follower, TOPIC.append, payload);
  }

  private async sendSnapshot(log: DecisionLog, follower: Follower): Promise<void> {
    const { node } = this.service;
    const { shard, epoch, head: upTo } = log;
    const parts = [...splitBySize(log.state.entries(), MAX_MESSAGE_BYTES)];
    this.snapshotsSent++;
    for (const [part, entries] of parts.entries()) {
      const message = { node, shard, epoch, upTo, part, parts: parts.length, entries };
      const answer = await this.exchange(follower, TOPIC.snapshot, encodeSnapshot(message));
      if (answer?.status !== 'applied') return;
    }
    follower.needsSnapshot = false;
    follower.acknowledged = upTo;
  }

  private async exchange(
    follower: Follower,
    topic: string,
    payload: Uint8Array,
  ): Promise<Acknowledgement | null> {
    const { channel, clock } = this.service;
    this.bytesSent += payload.length;
    follower.bytesSent += payload.length;
    follower.budget.spend(payload.length);
    const reply = await channel.ask(follower.node, topic, payload, this.options.answer_ms);
    const answer = readAnswer(decodeAcknowledgement, reply);
    follower.recordAnswer(answer, clock.now());
    return answer;
  }
}
