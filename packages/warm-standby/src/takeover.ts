/**
 * The standby's loop: watches the holders of the slices that this controller stands by for, confirms a suspicion with the
 * other controllers, and takes the slice. Suspicion starts a takeover and proves nothing; the state service decides.
 */
import { LOG_EVENT } from './log-events.js';
import type { NodeName, Version } from '../../../src/core/model/ids.js';
import type { PluginServices, ShardFact } from '../../../src/plugin-host/api.js';
import { Backoff } from './backoff.js';
import type { Cluster } from './cluster.js';
import type { HolderMonitor } from './holder-monitor.js';
import { TOPIC, decodeProbeAnswer, encodeProbe, readAnswer } from './messages.js';
import type { Options } from './options.js';
import type { Publisher } from './publisher.js';
import type { Receiver } from './receiver.js';
import type { ReplicatedState } from './replicated-state.js';
import type { Takeover, TakeoverHistory } from './takeover-history.js';
import { decideTakeover, doubtOf, type Reluctance, type Witness } from './takeover-policy.js';

/** Holders are looked at so often. */
const STEP_MS = 100;
/** Pause after a probe that did not lead to a takeover. */
const PROBE_AGAIN_MS = 300;
/** A handover that was accepted and has not come after so long was given up. */
const PREPARED_MS = 30_000;
/** Nothing is taken while the state service was out of reach within this time. */
const STATE_FRESH_MS = 1000;

/** The rank of a controller that does not stand by for a slice. */
const NO_STANDBY = -1;
/** What a controller says that does not answer. */
const NO_ANSWER = { reaches: null, applied: null };

/** A holder that is under suspicion. */
interface Suspicion {
  readonly epoch: Version;
  readonly since: number;
  confirmedAt: number | null;
  isProbing: boolean;
  notBefore: number;
  why: Reluctance | null;
}

/** Counts for operators. */
export interface TakeoverCounts {
  suspicions: number;
  /** Suspicions of a holder that answered, here or elsewhere. */
  refuted: number;
  taken: number;
  /** Takeovers of holders that turned out to be alive. */
  falseTakeovers: number;
}

/** Takes over slices of holders that have failed. */
export class TakeoverLoop {
  readonly counts: TakeoverCounts = { suspicions: 0, refuted: 0, taken: 0, falseTakeovers: 0 };
  readonly suspicions = new Map<NodeName, Suspicion>();
  private readonly backoffs = new Map<NodeName, Backoff>();
  /** The slices as they were when last looked at, to notice that one has come here. */
  private readonly known = new Map<NodeName, ShardFact>();
  /** Planned handovers that were accepted, and have not come yet. */
  private readonly prepared = new Map<NodeName, { readonly traceParent: string; readonly until: number }>();

  constructor(
    private readonly service: PluginServices,
    private readonly cluster: Cluster,
    private readonly monitor: HolderMonitor,
    private readonly receiver: Receiver,
    private readonly publisher: Publisher,
    private readonly history: TakeoverHistory,
    private readonly options: Options,
  ) {
    service.facts.subscribe(({ shards, sessions }) => {
      if (shards.size > 0) this.noteSlices();
      if (sessions.size > 0) this.noteSessions();
    });
  }

  async run(): Promise<never> {
    for (;;) {
      if (this.service.facts.isReady) {
        for (const shard of this.service.facts.shards()) this.watch(shard);
        this.history.step();
      }
      await this.service.clock.sleep(STEP_MS);
    }
  }

  /** A planned handover of the slice to this controller was accepted. */
  expect(shard: NodeName, traceParent: string): void {
    this.prepared.set(shard, { traceParent, until: this.service.clock.now() + PREPARED_MS });
  }

  backoffOf(shard: NodeName): Backoff {
    const backoff = this.backoffs.get(shard) ?? new Backoff(this.options.takeover, this.service.random);
    this.backoffs.set(shard, backoff);
    return backoff;
  }

  private watch(shard: ShardFact): void {
    const { clock, node } = this.service;
    const now = clock.now();
    const isFollowed = this.receiver.replicas.get(shard.shard)?.epoch === shard.epoch;
    // A holder without a session has failed, or is back this moment: the leader sees to it.
    const isSuspect = isFollowed && shard.hasSession && this.monitor.isSuspected(shard.holder, now);
    // Standbys are worked out only for a suspect: every slice is looked at many times a second.
    const rank = isSuspect ? this.cluster.standbysOf(shard).indexOf(node) : NO_STANDBY;
    if (rank === NO_STANDBY) {
      this.suspicions.delete(shard.shard);
      return;
    }
    let suspicion = this.suspicions.get(shard.shard);
    if (suspicion?.epoch !== shard.epoch) {
      this.counts.suspicions++;
      suspicion = {
        epoch: shard.epoch,
        since: now,
        confirmedAt: null,
        isProbing: false,
        notBefore: now,
        why: null,
      };
      this.suspicions.set(shard.shard, suspicion);
      this.service.log.info(
        { slice: shard.shard, holder: shard.holder, phi: this.monitor.phi(shard.holder, now) },
        LOG_EVENT.holderSuspected,
      );
    }
    if (!suspicion.isProbing && now >= suspicion.notBefore) this.investigate(shard, suspicion, rank);
  }

  private investigate(shard: ShardFact, suspicion: Suspicion, rank: number): void {
    const { clock, log } = this.service;
    suspicion.isProbing = true;
    this.tryTakeover(shard, suspicion, rank)
      .catch((e: unknown) => {
        log.error({ err: e, slice: shard.shard }, LOG_EVENT.takeoverFailed);
      })
      .finally(() => {
        suspicion.isProbing = false;
        suspicion.notBefore = clock.now() + PROBE_AGAIN_MS;
      });
  }

  private async tryTakeover(shard: ShardFact, suspicion: Suspicion, rank: number): Promise<void> {
    const { clock, facts, log } = this.service;
    const { holderAnswers, witnesses } = await this.probe(shard);
    const witnessesNeeded = this.options.detection.witnesses;
    const now = clock.now();
    if (doubtOf({ holderAnswers, witnesses, witnessesNeeded }) === null) suspicion.confirmedAt ??= now;
    else suspicion.confirmedAt = null;
    // It may have been heard while the others were asked.
    if (!this.monitor.isSuspected(shard.holder, now)) return;
    const decision = decideTakeover({
      isWarm: this.receiver.isWarm(shard),
      applied: this.receiver.replicas.get(shard.shard)?.applied ?? 0,
      holderAnswers,
      witnesses,
      witnessesNeeded,
      rank,
      confirmedForMs: suspicion.confirmedAt === null ? 0 : now - suspicion.confirmedAt,
      rankDelayMs: this.options.takeover.rank_delay_ms,
      backoffLeftMs: this.backoffOf(shard.shard).leftMs(now),
      isStateReachable: facts.isStateReachable(STATE_FRESH_MS),
    });
    if (decision.kind === 'wait') {
      if (suspicion.why !== decision.why) {
        if (decision.why === 'holder_answers' || decision.why === 'holder_reached_by_another')
          this.counts.refuted++;
        log.info({ slice: shard.shard, holder: shard.holder, why: decision.why }, LOG_EVENT.takeoverDeferred);
      }
      suspicion.why = decision.why;
      return;
    }
    await this.take(shard);
  }

  private async take(shard: ShardFact): Promise<void> {
    const { clock, log, shardControl } = this.service;
    // Counted before the outcome is known: a change without an answer may be applied yet.
    this.backoffOf(shard.shard).note(clock.now());
    const outcome = await shardControl.takeOver(shard);
    log.info({ slice: shard.shard, from: shard.holder, outcome: outcome.kind }, LOG_EVENT.takeoverAttempted);
  }

  private async probe(shard: ShardFact): Promise<{ holderAnswers: boolean; witnesses: Witness[] }> {
    const { channel } = this.service;
    const { probe_ms } = this.options.detection;
    const payload = encodeProbe({ holder: shard.holder, shard: shard.shard, epoch: shard.epoch });
    const [holderAnswers, ...witnesses] = await Promise.all([
      channel.isAnswering(shard.holder, probe_ms),
      ...this.cluster.othersThan(shard.holder).map(async (node): Promise<Witness> => {
        const reply = await channel.ask(node, TOPIC.probe, payload, probe_ms);
        return { node, ...(readAnswer(decodeProbeAnswer, reply) ?? NO_ANSWER) };
      }),
    ]);
    return { holderAnswers, witnesses };
  }

  /** Slices that have come to this controller, whoever gave them. */
  private noteSlices(): void {
    const { facts, incarnation, node } = this.service;
    for (const fact of facts.shards()) {
      const before = this.known.get(fact.shard);
      if (before?.epoch === fact.epoch) continue;
      this.known.set(fact.shard, fact);
      // What its own former life held has not come from another controller.
      const cameHere = before !== undefined && fact.incarnation === incarnation && before.holder !== node;
      if (cameHere) this.begin(fact, before);
    }
  }

  /** The confirmed suspicion that led to the takeover, if one did. */
  private suspicionOf(shard: NodeName, before: ShardFact): Suspicion | null {
    const suspicion = this.suspicions.get(shard);
    return suspicion?.epoch === before.epoch && suspicion.confirmedAt !== null ? suspicion : null;
  }

  /** This controller has the slice: what the replica knows is learned, and the phases are followed from here. */
  private begin(fact: ShardFact, before: ShardFact): void {
    const { clock, log } = this.service;
    const { shard } = fact;
    const replica = this.receiver.replicas.get(shard);
    const memory = replica?.epoch === before.epoch ? replica.state : null;
    const takeover = this.describe(fact, before, memory);
    for (const hint of memory?.hints(clock.wallClock()) ?? []) this.service.learn(hint);
    this.publisher.continueWith(fact, memory?.entries() ?? []);
    this.history.add(takeover);
    const { from, cause, wasWarm } = takeover;
    if (cause === 'suspicion') this.counts.taken++;
    log.info({ slice: shard, from, cause, epoch: fact.epoch, warm: wasWarm }, LOG_EVENT.shardReceived);
    this.receiver.forget(shard);
    this.suspicions.delete(shard);
    this.prepared.delete(shard);
  }

  /** Where the span of the handover belongs that was accepted for the slice, if one was. */
  private handoverTraceOf(shard: NodeName): string | undefined {
    const prepared = this.prepared.get(shard);
    const isDue = prepared !== undefined && this.service.clock.now() < prepared.until;
    return isDue ? prepared.traceParent : undefined;
  }

  private describe(fact: ShardFact, before: ShardFact, memory: ReplicatedState | null): Takeover {
    const { clock, facts, tracer } = this.service;
    const { shard } = fact;
    const handoverTrace = this.handoverTraceOf(shard);
    const suspicion = handoverTrace === undefined ? this.suspicionOf(shard, before) : null;
    const cause = handoverTrace !== undefined ? 'handover' : suspicion !== null ? 'suspicion' : 'assigned';
    return {
      shard,
      from: before.holder,
      fromIncarnation: before.incarnation,
      sessionGone: false,
      cause,
      epoch: fact.epoch,
      wasWarm: memory !== null && this.receiver.isWarm(before),
      workersKnown: memory?.workerCount ?? 0,
      endedTasks: memory?.endedTasks ?? 0,
      machines: facts.machinesOf(shard).length,
      wall: clock.wallClock(),
      at: {
        lastHeard: suspicion === null ? null : this.monitor.lastHeardAt(before.holder),
        suspected: suspicion?.since ?? null,
        confirmed: suspicion?.confirmedAt ?? null,
        fenced: clock.now(),
        view: null,
        firstReport: null,
        firstStart: null,
        allReports: null,
      },
      traceParent: tracer.reserve(handoverTrace),
      handoverTrace,
      wasFalse: false,
    };
  }

  /** A holder whose slice was taken on suspicion and that is back in the same life had not failed. */
  private noteSessions(): void {
    const { facts } = this.service;
    const lives = new Set(facts.sessions().map((s) => s.incarnation));
    for (const takeover of this.history.takeovers) {
      if (takeover.cause !== 'suspicion' || takeover.wasFalse) continue;
      if (!lives.has(takeover.fromIncarnation)) {
        takeover.sessionGone = true;
        continue;
      }
      if (!takeover.sessionGone) continue;
      takeover.wasFalse = true;
      this.counts.falseTakeovers++;
    }
  }
}
