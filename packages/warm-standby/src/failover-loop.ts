/**
 * The standby's loop: watches the holders of the shards that this controller stands by for, confirms a suspicion with the
 * other controllers, and takes the shard. Suspicion starts a failover and proves nothing; the state service decides.
 */
import type { NodeName, Version } from '../../../src/core/model/ids.js';
import type { PluginServices, ShardFact } from '../../../src/plugin-host/api.js';
import { Backoff } from './backoff.js';
import type { Cluster } from './cluster.js';
import type { Failover, FailoverCause, FailoverHistory, FailoverMoments } from './failover-history.js';
import { decideFailover, unconfirmedReason, type DeferralReason, type Witness } from './failover-policy.js';
import type { HolderMonitor } from './holder-monitor.js';
import { LOG_EVENT } from './log-events.js';
import { TOPIC, decodeProbeAnswer, encodeProbe, readAnswer } from './messages.js';
import type { Options } from './options.js';
import type { Publisher } from './publisher.js';
import type { Receiver } from './receiver.js';
import type { ReplicatedState } from './replicated-state.js';

/** Holders are looked at so often. */
const WATCH_INTERVAL_MS = 100;
/** Pause after a probe that did not lead to a failover. */
const PROBE_RETRY_MS = 300;
/** A handover that was accepted and has not come after so long was given up. */
const HANDOVER_TIMEOUT_MS = 30_000;
/** Nothing is taken while the state service was out of reach within this time. */
const STATE_FRESH_MS = 1000;

/** The rank of a controller that does not stand by for a shard. */
const NOT_A_STANDBY = -1;
/** What a controller says that does not answer. */
const NO_ANSWER = { reaches: null, applied: null };

/** A holder that is under suspicion. */
interface Suspicion {
  readonly epoch: Version;
  readonly since: number;
  confirmedAt: number | null;
  isProbing: boolean;
  notBefore: number;
  deferredBy: DeferralReason | null;
}

/** Counts for operators. */
export interface FailoverCounts {
  suspicions: number;
  /** Suspicions of a holder that answered, here or elsewhere. */
  refuted: number;
  taken: number;
  /** Failovers of holders that turned out to be alive. */
  falseTakeovers: number;
}

/** Takes over shards of holders that have failed. */
export class FailoverLoop {
  readonly counts: FailoverCounts = { suspicions: 0, refuted: 0, taken: 0, falseTakeovers: 0 };
  readonly suspicions = new Map<NodeName, Suspicion>();
  private readonly backoffs = new Map<NodeName, Backoff>();
  /** The shards as they were when last looked at, to notice that one has come here. */
  private readonly knownShards = new Map<NodeName, ShardFact>();
  /** Planned handovers that were accepted, and have not come yet. */
  private readonly expectedHandovers = new Map<
    NodeName,
    { readonly traceParent: string; readonly until: number }
  >();

  constructor(
    private readonly service: PluginServices,
    private readonly cluster: Cluster,
    private readonly monitor: HolderMonitor,
    private readonly receiver: Receiver,
    private readonly publisher: Publisher,
    private readonly history: FailoverHistory,
    private readonly options: Options,
  ) {
    service.facts.subscribe(({ shards, sessions }) => {
      if (shards.size > 0) this.onShardChanges();
      if (sessions.size > 0) this.onSessionChanges();
    });
  }

  /** Watches the holders periodically; returns only when it fails. */
  async run(): Promise<never> {
    for (;;) {
      if (this.service.facts.isReady) {
        for (const shard of this.service.facts.shards()) this.watchHolder(shard);
        this.history.update();
      }
      await this.service.clock.sleep(WATCH_INTERVAL_MS);
    }
  }

  /** A planned handover of the shard to this controller was accepted. */
  expectHandover(shard: NodeName, traceParent: string): void {
    this.expectedHandovers.set(shard, { traceParent, until: this.service.clock.now() + HANDOVER_TIMEOUT_MS });
  }

  /** The backoff between failovers of the shard. */
  backoffOf(shard: NodeName): Backoff {
    const backoff = this.backoffs.get(shard) ?? new Backoff(this.options.takeover, this.service.random);
    this.backoffs.set(shard, backoff);
    return backoff;
  }

  private watchHolder(shard: ShardFact): void {
    const { clock, node } = this.service;
    const now = clock.now();
    const isFollowed = this.receiver.replicas.get(shard.name)?.epoch === shard.epoch;
    // A holder without a session has failed, or is back this moment: the leader sees to it.
    const isSuspect = isFollowed && shard.hasSession && this.monitor.isSuspected(shard.holder, now);
    // Standbys are worked out only for a suspect: every shard is looked at many times a second.
    const rank = isSuspect ? this.cluster.standbysOf(shard).indexOf(node) : NOT_A_STANDBY;
    if (rank === NOT_A_STANDBY) {
      this.suspicions.delete(shard.name);
      return;
    }
    let suspicion = this.suspicions.get(shard.name);
    if (suspicion?.epoch !== shard.epoch) {
      this.counts.suspicions++;
      suspicion = {
        epoch: shard.epoch,
        since: now,
        confirmedAt: null,
        isProbing: false,
        notBefore: now,
        deferredBy: null,
      };
      this.suspicions.set(shard.name, suspicion);
      this.service.log.info(
        { shard: shard.name, holder: shard.holder, phi: this.monitor.phi(shard.holder, now) },
        LOG_EVENT.holderSuspected,
      );
    }
    if (!suspicion.isProbing && now >= suspicion.notBefore) this.investigate(shard, suspicion, rank);
  }

  private investigate(shard: ShardFact, suspicion: Suspicion, rank: number): void {
    const { clock, log } = this.service;
    suspicion.isProbing = true;
    this.tryFailover(shard, suspicion, rank)
      .catch((error: unknown) => {
        log.error({ err: error, shard: shard.name }, LOG_EVENT.failoverFailed);
      })
      .finally(() => {
        suspicion.isProbing = false;
        suspicion.notBefore = clock.now() + PROBE_RETRY_MS;
      });
  }

  private async tryFailover(shard: ShardFact, suspicion: Suspicion, rank: number): Promise<void> {
    const { clock, facts, log } = this.service;
    const { holderAnswers, witnesses } = await this.probe(shard);
    const witnessesNeeded = this.options.detection.witnesses;
    const now = clock.now();
    if (unconfirmedReason({ holderAnswers, witnesses, witnessesNeeded }) === null)
      suspicion.confirmedAt ??= now;
    else suspicion.confirmedAt = null;
    // It may have been heard while the others were asked.
    if (!this.monitor.isSuspected(shard.holder, now)) return;
    const decision = decideFailover({
      isWarm: this.receiver.isWarm(shard),
      applied: this.receiver.replicas.get(shard.name)?.applied ?? 0,
      holderAnswers,
      witnesses,
      witnessesNeeded,
      rank,
      confirmedForMs: suspicion.confirmedAt === null ? 0 : now - suspicion.confirmedAt,
      rankDelayMs: this.options.takeover.rank_delay_ms,
      backoffLeftMs: this.backoffOf(shard.name).leftMs(now),
      isStateReachable: facts.isStateReachable(STATE_FRESH_MS),
    });
    if (decision.kind === 'wait') {
      if (suspicion.deferredBy !== decision.reason) {
        if (decision.reason === 'holder_answers' || decision.reason === 'holder_reached_by_another')
          this.counts.refuted++;
        log.info(
          { shard: shard.name, holder: shard.holder, reason: decision.reason },
          LOG_EVENT.failoverDeferred,
        );
      }
      suspicion.deferredBy = decision.reason;
      return;
    }
    await this.takeShard(shard);
  }

  private async takeShard(shard: ShardFact): Promise<void> {
    const { clock, log, shardControl } = this.service;
    // Counted before the outcome is known: a change without an answer may be applied yet.
    this.backoffOf(shard.name).note(clock.now());
    const outcome = await shardControl.failOver(shard);
    log.info({ shard: shard.name, from: shard.holder, outcome: outcome.kind }, LOG_EVENT.failoverAttempted);
  }

  private async probe(shard: ShardFact): Promise<{ holderAnswers: boolean; witnesses: Witness[] }> {
    const { channel } = this.service;
    const { probe_ms } = this.options.detection;
    const payload = encodeProbe({ holder: shard.holder, shard: shard.name, epoch: shard.epoch });
    const [holderAnswers, ...witnesses] = await Promise.all([
      channel.isAnswering(shard.holder, probe_ms),
      ...this.cluster.othersThan(shard.holder).map(async (node): Promise<Witness> => {
        const reply = await channel.ask(node, TOPIC.probe, payload, probe_ms);
        return { node, ...(readAnswer(decodeProbeAnswer, reply) ?? NO_ANSWER) };
      }),
    ]);
    return { holderAnswers, witnesses };
  }

  /** Shards that have come to this controller, whoever gave them. */
  private onShardChanges(): void {
    const { facts, incarnation, node } = this.service;
    for (const fact of facts.shards()) {
      const before = this.knownShards.get(fact.name);
      if (before?.epoch === fact.epoch) continue;
      this.knownShards.set(fact.name, fact);
      // What its own former life held has not come from another controller.
      const cameHere = before !== undefined && fact.incarnation === incarnation && before.holder !== node;
      if (cameHere) this.onShardReceived(fact, before);
    }
  }

  /** The confirmed suspicion that led to the failover, if one did. */
  private suspicionOf(shard: NodeName, before: ShardFact): Suspicion | null {
    const suspicion = this.suspicions.get(shard);
    return suspicion?.epoch === before.epoch && suspicion.confirmedAt !== null ? suspicion : null;
  }

  /** This controller has the shard: what the replica knows is learned, and the phases are followed from here. */
  private onShardReceived(fact: ShardFact, before: ShardFact): void {
    const { clock, log } = this.service;
    const { name: shard } = fact;
    const replica = this.receiver.replicas.get(shard);
    const state = replica?.epoch === before.epoch ? replica.state : null;
    const failover = this.describeFailover(fact, before, state);
    for (const hint of state?.hints(clock.wallClock()) ?? []) this.service.learn(hint);
    this.publisher.continueWith(fact, state?.entries() ?? []);
    this.history.add(failover);
    const { from, cause, wasWarm } = failover;
    if (cause === 'suspicion') this.counts.taken++;
    log.info({ shard, from, cause, epoch: fact.epoch, warm: wasWarm }, LOG_EVENT.shardReceived);
    this.receiver.forget(shard);
    this.suspicions.delete(shard);
    this.expectedHandovers.delete(shard);
  }

  /** Where the span of the handover belongs that was accepted for the shard, if one was. */
  private handoverTraceOf(shard: NodeName): string | undefined {
    const prepared = this.expectedHandovers.get(shard);
    const isDue = prepared !== undefined && this.service.clock.now() < prepared.until;
    return isDue ? prepared.traceParent : undefined;
  }

  private describeFailover(fact: ShardFact, before: ShardFact, state: ReplicatedState | null): Failover {
    const { clock, facts, tracer } = this.service;
    const { name: shard } = fact;
    const handoverTrace = this.handoverTraceOf(shard);
    const suspicion = handoverTrace === undefined ? this.suspicionOf(shard, before) : null;
    return {
      shard,
      from: before.holder,
      fromIncarnation: before.incarnation,
      isSessionGone: false,
      cause: causeOf(handoverTrace, suspicion),
      epoch: fact.epoch,
      wasWarm: state !== null && this.receiver.isWarm(before),
      agentsKnown: state?.agentCount ?? 0,
      uncommittedExits: state?.uncommittedExits ?? 0,
      machines: facts.machinesOf(shard).length,
      wall: clock.wallClock(),
      at: this.momentsOf(before.holder, suspicion),
      traceParent: tracer.reserve(handoverTrace),
      handoverTrace,
      isFalse: false,
    };
  }

  /** The moments reached when the shard comes here: now it is fenced against its former holder. */
  private momentsOf(holder: NodeName, suspicion: Suspicion | null): FailoverMoments {
    return {
      lastHeard: suspicion === null ? null : this.monitor.lastHeardAt(holder),
      suspected: suspicion?.since ?? null,
      confirmed: suspicion?.confirmedAt ?? null,
      fenced: this.service.clock.now(),
      view: null,
      firstHeartbeat: null,
      firstStart: null,
      allHeartbeats: null,
    };
  }

  /** A holder whose shard was taken on suspicion and that is back in the same life had not failed. */
  private onSessionChanges(): void {
    const { facts } = this.service;
    const lives = new Set(facts.sessions().map((s) => s.incarnation));
    for (const failover of this.history.failovers) {
      if (failover.cause !== 'suspicion' || failover.isFalse) continue;
      if (!lives.has(failover.fromIncarnation)) {
        failover.isSessionGone = true;
        continue;
      }
      if (!failover.isSessionGone) continue;
      failover.isFalse = true;
      this.counts.falseTakeovers++;
    }
  }
}

function causeOf(handoverTrace: string | undefined, suspicion: Suspicion | null): FailoverCause {
  if (handoverTrace !== undefined) return 'handover';
  return suspicion === null ? 'assigned' : 'suspicion';
}
