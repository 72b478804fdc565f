/**
 * The standby's loop: monitors the holders of the shards that this controller is a standby of, confirms a suspicion with
 * the other controllers, and takes the shard over. A suspicion may be false: only the guarded transaction in the state
 * service decides who holds the shard.
 */
import type { NodeName, Version } from '../../../src/core/model/ids.js';
import type { CommittedShard, PluginServices } from '../../../src/plugin-host/api.js';
import { Backoff } from './backoff.js';
import type { Cluster } from './cluster.js';
import type { Failover, FailoverCause, FailoverHistory, FailoverMoments } from './failover-history.js';
import {
  decideFailover,
  unconfirmedReason,
  type DeferralReason,
  type WitnessAnswer,
} from './failover-policy.js';
import type { HolderMonitor } from './holder-monitor.js';
import { LOG_EVENT } from './log-events.js';
import { TOPIC, decodeProbeAnswer, encodeProbe, readAnswer } from './messages.js';
import type { Options } from './options.js';
import type { Publisher } from './publisher.js';
import type { Receiver } from './receiver.js';
import type { ReplicatedState } from './replicated-state.js';

/** Interval at which holders are checked. */
const CHECK_INTERVAL_MS = 100;
/** Pause after a probe that did not lead to a failover. */
const PROBE_RETRY_MS = 300;
/** Time after which an accepted handover that has not arrived counts as abandoned by the holder. */
const HANDOVER_TIMEOUT_MS = 30_000;
/** No shard is taken over unless the state service answered the last request or one sent within this time. */
const STATE_REACHABLE_WITHIN_MS = 1000;

/** The rank of a controller that is not a standby of the shard. */
const NOT_A_STANDBY = -1;
/** The entry of a witness that did not answer. */
const NO_ANSWER = { reaches: null, applied: null };

/** The suspicion of one shard's holder. */
interface Suspicion {
  /** The shard's epoch under the suspected holder. */
  readonly epoch: Version;
  /** When the suspicion began, on the monotonic clock. */
  readonly since: number;
  /** Since when the holder has been confirmed unreachable, on the monotonic clock; null where it is not. */
  confirmedAt: number | null;
  isProbing: boolean;
  /** Time of the next probe, on the monotonic clock. */
  notBefore: number;
  /** Why the last decision deferred the failover; null before the first one. */
  deferredBy: DeferralReason | null;
}

/** Counts since the start of the process, for operators. */
export interface FailoverCounts {
  suspicions: number;
  /** Deferrals because the holder answered a probe of this controller or of a witness. */
  refuted: number;
  /** Shards received through a suspicion. */
  taken: number;
  /** Failovers from holders that turned out to be alive. */
  falseTakeovers: number;
}

/** Takes over shards whose holders have failed, and records the shards that this controller receives. */
export class FailoverLoop {
  readonly counts: FailoverCounts = { suspicions: 0, refuted: 0, taken: 0, falseTakeovers: 0 };
  readonly suspicions = new Map<NodeName, Suspicion>();
  private readonly backoffs = new Map<NodeName, Backoff>();
  /** The shards as last seen, to notice which ones this controller has received. */
  private readonly knownShards = new Map<NodeName, CommittedShard>();
  /** Planned handovers to this controller that were accepted and have not arrived yet, by shard. */
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
    service.committedState.subscribe(({ shards, sessions }) => {
      if (shards.size > 0) this.onShardChanges();
      if (sessions.size > 0) this.onSessionChanges();
    });
  }

  /** Checks the holders periodically; never returns, and throws on an unexpected error. */
  async run(): Promise<never> {
    for (;;) {
      if (this.service.committedState.isReady) {
        for (const shard of this.service.committedState.shards()) this.checkHolder(shard);
        this.history.update();
      }
      await this.service.clock.sleep(CHECK_INTERVAL_MS);
    }
  }

  /** Records that a planned handover of the shard to this controller was accepted; `traceParent` is its span. */
  expectHandover(shard: NodeName, traceParent: string): void {
    this.expectedHandovers.set(shard, { traceParent, until: this.service.clock.now() + HANDOVER_TIMEOUT_MS });
  }

  /** The backoff between failovers of the shard. */
  backoffOf(shard: NodeName): Backoff {
    const backoff = this.backoffs.get(shard) ?? new Backoff(this.options.takeover, this.service.random);
    this.backoffs.set(shard, backoff);
    return backoff;
  }

  private checkHolder(shard: CommittedShard): void {
    const { clock, node } = this.service;
    const now = clock.now();
    const isFollowed = this.receiver.replicas.get(shard.name)?.epoch === shard.epoch;
    // A holder without a session has failed or is just restarting: the leader assigns its shard.
    const isSuspect = isFollowed && shard.hasSession && this.monitor.isSuspected(shard.holder, now);
    // Standbys are computed only for a suspected holder, since every shard is checked many times a second.
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
    if (!suspicion.isProbing && now >= suspicion.notBefore) this.startProbe(shard, suspicion, rank);
  }

  private startProbe(shard: CommittedShard, suspicion: Suspicion, rank: number): void {
    const { clock, log } = this.service;
    suspicion.isProbing = true;
    this.probeAndDecide(shard, suspicion, rank)
      .catch((error: unknown) => {
        log.error({ err: error, shard: shard.name }, LOG_EVENT.failoverFailed);
      })
      .finally(() => {
        suspicion.isProbing = false;
        suspicion.notBefore = clock.now() + PROBE_RETRY_MS;
      });
  }

  private async probeAndDecide(shard: CommittedShard, suspicion: Suspicion, rank: number): Promise<void> {
    const { clock, committedState, log } = this.service;
    const { holderAnswers, witnesses } = await this.probe(shard);
    const witnessesNeeded = this.options.detection.witnesses;
    const now = clock.now();
    if (unconfirmedReason({ holderAnswers, witnesses, witnessesNeeded }) === null)
      suspicion.confirmedAt ??= now;
    else suspicion.confirmedAt = null;
    // A message of the holder may have arrived while the other controllers were asked.
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
      backoffLeftMs: this.backoffOf(shard.name).remainingMs(now),
      isStateReachable: committedState.isStateReachable(STATE_REACHABLE_WITHIN_MS),
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
    await this.attemptFailover(shard);
  }

  private async attemptFailover(shard: CommittedShard): Promise<void> {
    const { clock, log, shardControl } = this.service;
    // Recorded before the outcome is known: a transaction without an answer may still be applied.
    this.backoffOf(shard.name).recordFailover(clock.now());
    const outcome = await shardControl.failOver(shard);
    log.info({ shard: shard.name, from: shard.holder, outcome: outcome.kind }, LOG_EVENT.failoverAttempted);
  }

  private async probe(
    shard: CommittedShard,
  ): Promise<{ holderAnswers: boolean; witnesses: WitnessAnswer[] }> {
    const { channel } = this.service;
    const { probe_ms } = this.options.detection;
    const payload = encodeProbe({ holder: shard.holder, shard: shard.name, epoch: shard.epoch });
    const [holderAnswers, ...witnesses] = await Promise.all([
      channel.isAnswering(shard.holder, probe_ms),
      ...this.cluster.peersExcept(shard.holder).map(async (node): Promise<WitnessAnswer> => {
        const reply = await channel.ask(node, TOPIC.probe, payload, probe_ms);
        return { node, ...(readAnswer(decodeProbeAnswer, reply) ?? NO_ANSWER) };
      }),
    ]);
    return { holderAnswers, witnesses };
  }

  /** Detects shards that this controller has received, by failover, handover or assignment. */
  private onShardChanges(): void {
    const { committedState, incarnation, node } = this.service;
    for (const shard of committedState.shards()) {
      const previous = this.knownShards.get(shard.name);
      if (previous?.epoch === shard.epoch) continue;
      this.knownShards.set(shard.name, shard);
      // A shard that an earlier incarnation of this controller held was not received from another controller.
      const isReceived =
        previous !== undefined && shard.incarnation === incarnation && previous.holder !== node;
      if (isReceived) this.onShardReceived(shard, previous);
    }
  }

  /** The confirmed suspicion that led to the failover; null where the shard was received otherwise. */
  private suspicionOf(shard: NodeName, previous: CommittedShard): Suspicion | null {
    const suspicion = this.suspicions.get(shard);
    return suspicion?.epoch === previous.epoch && suspicion.confirmedAt !== null ? suspicion : null;
  }

  /** Applies what the replica knows of a shard that was received, and begins to track the phases of the failover. */
  private onShardReceived(shard: CommittedShard, previous: CommittedShard): void {
    const { clock, log } = this.service;
    const { name } = shard;
    const replica = this.receiver.replicas.get(name);
    const state = replica?.epoch === previous.epoch ? replica.state : null;
    const failover = this.describeFailover(shard, previous, state);
    for (const hint of state?.hints(clock.wallClock()) ?? []) this.service.applyHint(hint);
    this.publisher.seedLog(shard, state?.entries() ?? []);
    this.history.add(failover);
    const { from, cause, wasWarm } = failover;
    if (cause === 'suspicion') this.counts.taken++;
    log.info({ shard: name, from, cause, epoch: shard.epoch, warm: wasWarm }, LOG_EVENT.shardReceived);
    this.receiver.dropReplica(name);
    this.suspicions.delete(name);
    this.expectedHandovers.delete(name);
  }

  /** The span of the accepted handover of the shard; undefined where there is none or it has timed out. */
  private handoverTraceOf(shard: NodeName): string | undefined {
    const expected = this.expectedHandovers.get(shard);
    const isPending = expected !== undefined && this.service.clock.now() < expected.until;
    return isPending ? expected.traceParent : undefined;
  }

  private describeFailover(
    shard: CommittedShard,
    previous: CommittedShard,
    state: ReplicatedState | null,
  ): Failover {
    const { clock, committedState, tracer } = this.service;
    const { name } = shard;
    const handoverTrace = this.handoverTraceOf(name);
    const suspicion = handoverTrace === undefined ? this.suspicionOf(name, previous) : null;
    return {
      shard: name,
      from: previous.holder,
      fromIncarnation: previous.incarnation,
      isSessionGone: false,
      cause: causeOf(handoverTrace, suspicion),
      epoch: shard.epoch,
      wasWarm: state !== null && this.receiver.isWarm(previous),
      knownAgentCount: state?.agentCount ?? 0,
      uncommittedExits: state?.uncommittedExitCount ?? 0,
      machineCount: committedState.machinesOf(name).length,
      receivedAt: clock.wallClock(),
      at: this.initialMoments(previous.holder, suspicion),
      traceParent: tracer.reserve(handoverTrace),
      handoverTrace,
      isFalse: false,
    };
  }

  /** The steps reached when the shard is received: its former holder is fenced off as of now. */
  private initialMoments(holder: NodeName, suspicion: Suspicion | null): FailoverMoments {
    return {
      lastHeard: suspicion === null ? null : this.monitor.lastHeardAt(holder),
      suspected: suspicion?.since ?? null,
      confirmed: suspicion?.confirmedAt ?? null,
      fenced: this.service.clock.now(),
      viewComplete: null,
      firstHeartbeat: null,
      firstStart: null,
      allHeartbeats: null,
    };
  }

  /**
   * Marks failovers as false: a former holder that was suspected and whose session reappears with the same incarnation
   * had not failed.
   */
  private onSessionChanges(): void {
    const { committedState } = this.service;
    const liveIncarnations = new Set(committedState.sessions().map((s) => s.incarnation));
    for (const failover of this.history.failovers) {
      if (failover.cause !== 'suspicion' || failover.isFalse) continue;
      if (!liveIncarnations.has(failover.fromIncarnation)) {
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
