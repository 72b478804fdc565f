/**
 * The holder's loop: keeps the log of each shard that this process holds and sends it to the shard's standbys. A standby that
 * is slow or away falls behind; nothing here ever waits for it.
 */
import type { NodeName } from '../../../src/core/model/ids.js';
import type { MonotonicMs } from '../../../src/core/model/time.js';
import type { PluginServices, ShardFact } from '../../../src/plugin-host/api.js';
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

/** Entries of one message take no more than this; a frame between controllers may have 64 KiB. */
const MESSAGE_BYTES = 32 * 1024;
/** After a message without an answer the next one waits, longer each time. */
const FIRST_RETRY_MS = 300;
const LONGEST_RETRY_MS = 3000;
/** A standby that does not know the format, or refuses this controller, is asked again so rarely. */
const REFUSED_RETRY_MS = 30_000;
/** Entries about machines and jobs that are gone are dropped so often. */
const PRUNE_INTERVAL_MS = 10_000;

/** How a standby answers. */
export type FollowerStatus = 'new' | 'following' | 'silent' | Exclude<Acknowledgement['status'], 'applied'>;

/** A standby as the holder sees it. */
export class Follower {
  /** The last entry that the standby has applied, as far as is known. */
  acknowledged = 0;
  status: FollowerStatus = 'new';
  bytesSent = 0;
  needsSnapshot = false;
  isBusy = false;
  notBefore = Number.NEGATIVE_INFINITY;
  failures = 0;
  readonly budget: ByteBudget;

  constructor(
    readonly node: NodeName,
    bytesPerSecond: number,
  ) {
    this.budget = new ByteBudget(bytesPerSecond);
  }

  /** Takes in an answer, or that none came. */
  recordAnswer(answer: Acknowledgement | null, now: MonotonicMs): void {
    if (answer === null) {
      this.status = 'silent';
      this.notBefore = now + Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** this.failures);
      this.failures++;
      return;
    }
    this.failures = 0;
    this.status = answer.status === 'applied' ? 'following' : answer.status;
    if (answer.status === 'applied') this.acknowledged = answer.applied;
    else if (answer.status === 'gap') this.needsSnapshot = true;
    else this.notBefore = now + REFUSED_RETRY_MS;
  }
}

/** One shard's log and who follows it. */
export interface PublishedShard {
  readonly log: DecisionLog;
  readonly followers: Map<NodeName, Follower>;
}

/** Splits entries into parts of at most so many bytes each; at least one part. */
function* partsOf(entries: readonly LogEntry[], bytes: number): Generator<LogEntry[]> {
  let part: LogEntry[] = [];
  let size = 0;
  for (const entry of entries) {
    const more = entrySize(entry);
    if (part.length > 0 && size + more > bytes) {
      yield part;
      part = [];
      size = 0;
    }
    part.push(entry);
    size += more;
  }
  yield part;
}

/** The entries that fit into so many bytes, at least one. */
function firstPart(entries: readonly LogEntry[], bytes: number): readonly LogEntry[] {
  for (const part of partsOf(entries, bytes)) return part;
  return [];
}

/** Sends decision logs to standbys. */
export class Publisher {
  readonly shards = new Map<NodeName, PublishedShard>();
  /** Bytes of messages sent, and snapshots, since the start. */
  bytesSent = 0;
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

  /** Sends heartbeats and entries periodically; returns only when it fails. */
  async run(): Promise<never> {
    for (;;) {
      this.step();
      await this.service.clock.sleep(this.options.heartbeat_ms);
    }
  }

  /** A shard that was just taken over: what its former holder had told goes on in the new log. */
  continueWith(shard: ShardFact, entries: readonly LogEntry[]): void {
    const { log } = this.publish(shard);
    for (const entry of entries) log.append(entry);
  }

  /** Waits until the standby has all of the shard's log, or the time is over. */
  async drain(shard: ShardFact, node: NodeName, forMs: number): Promise<boolean> {
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

  private step(): void {
    if (!this.service.facts.isReady) return;
    const held = this.cluster.heldShards();
    const names = new Set(held.map((s) => s.name));
    for (const shard of this.shards.keys()) if (!names.has(shard)) this.shards.delete(shard);
    for (const shard of held) this.updateFollowers(this.publish(shard), shard);
    this.prune();
  }

  private publish(shard: ShardFact): PublishedShard {
    let published = this.shards.get(shard.name);
    if (published?.log.epoch !== shard.epoch) {
      const log = new DecisionLog(shard.name, shard.epoch, this.options.tail_entries);
      // The record may be written anew while the holder stays: what was learned goes on under the new epoch.
      for (const entry of published?.log.state.entries() ?? []) log.append(entry);
      published = { log, followers: new Map() };
      this.shards.set(shard.name, published);
    }
    return published;
  }

  private updateFollowers(published: PublishedShard, shard: ShardFact): void {
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
    const owner = this.service.facts.machine(subject.machine)?.owner;
    if (owner !== undefined) this.shards.get(owner)?.log.append(entry);
  }

  private prune(): void {
    const { facts, clock } = this.service;
    if (clock.now() - this.prunedAt < PRUNE_INTERVAL_MS) return;
    this.prunedAt = clock.now();
    for (const [shard, { log }] of this.shards)
      log.state.prune({
        hasMachine: (name) => facts.machine(name)?.owner === shard,
        hasJob: (job) => facts.hasJob(job),
      });
  }

  /** Sends what the standby lacks, or a heartbeat; one message at a time. */
  private send(published: PublishedShard, follower: Follower): void {
    const { clock, log } = this.service;
    if (follower.isBusy || clock.now() < follower.notBefore) return;
    follower.isBusy = true;
    const sent = follower.needsSnapshot
      ? this.sendSnapshot(published.log, follower)
      : this.sendEntries(published.log, follower);
    sent
      .catch((error: unknown) => {
        log.error({ err: error, standby: follower.node }, LOG_EVENT.replicationFailed);
        follower.recordAnswer(null, clock.now());
      })
      .finally(() => {
        follower.isBusy = false;
        const isBehind = follower.status === 'following' && follower.acknowledged < published.log.head;
        const isCurrent = this.shards.get(published.log.shard) === published;
        // The rest at once, as long as the budget lasts; then with the next heartbeat.
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
    // Without budget only a heartbeat goes: the standby sees by it that it is behind.
    const room = Math.min(MESSAGE_BYTES, follower.budget.available(clock.now()));
    const entries = room > 0 ? firstPart(batch.entries, room) : [];
    const { shard, epoch, head } = log;
    const payload = encodeAppend({ node, shard, epoch, first: batch.first, entries, head });
    await this.exchange(follower, TOPIC.append, payload);
  }

  private async sendSnapshot(log: DecisionLog, follower: Follower): Promise<void> {
    const { node } = this.service;
    const { shard, epoch, head: upTo } = log;
    const parts = [...partsOf(log.state.entries(), MESSAGE_BYTES)];
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
