/**
 * One seeded run: three controllers as they are, the stand-ins round them, users, and troubles. Every rule is
 * checked at each step; whoever breaks one gets an AssertionError that names it.
 */
import assert from 'node:assert/strict';
import type { Controller } from '../../src/controller/controller.js';
import { jobId } from '../../src/core/model/ids.js';
import type { HttpResponse } from '../../src/io/http-client.js';
import { key } from '../../src/core/records/keys.js';
import { Unavailable } from '../../src/io/state/state-client.js';
import { heartbeatFromWire, redirectToWire, commandsToWire } from '../../src/io/agents/agent-messages.js';
import { jobFromWire } from '../../src/io/users/job-messages.js';
import { submission } from '../samples.js';
import { SimulatedCluster, type SimulatedAgent } from './agents-and-cloud.js';
import { newJob, type SubmittedJob } from './submitted-job.js';
import { SimulatedController, asError } from './simulated-controller.js';
import {
  LIMITS,
  NODES,
  SMALL,
  TEAMS,
  ZONES,
  type JobOverrides,
  type Json,
  type SimulationSize,
} from './sizes.js';
import { StateService } from './state-service.js';
import { injectRandomFault } from './faults.js';
import { VirtualTime } from './virtual-time.js';

export { FLEET, GROWN, HUGE, LIMITS, SMALL, type SimulationSize as Size } from './sizes.js';

/** The users' 90 s, shorter as everything is here. */
const NEGLECTED_MS = 30_000;

/** Is told of all that controllers send: requests, answers to workers and to users. */
export type Observer = (from: string, to: string, message: unknown) => void;

export class Simulation {
  readonly time: VirtualTime;
  readonly state: StateService;
  readonly cluster: SimulatedCluster;
  readonly controllers = new Map<string, SimulatedController>();
  failed: Error | null = null;
  private jobs = 0;
  observedAnswers = 0;

  /** Limits that the state service will have from some moment on, as the settings of the new version state them. */
  upcomingLimits: { value_kb: number; txn_ops: number; write_rps: number } | null = null;
  /** Users submit pipelines too. */
  submitsPipelines = false;

  constructor(
    seed: number,
    readonly size: SimulationSize = SMALL,
    upgrade = false,
    packages: SimulatedController['packages'] = () => [],
    readonly observe: Observer = () => undefined,
  ) {
    this.time = new VirtualTime(seed);
    this.state = new StateService(this.time, size);
    const quota = new Map([...TEAMS].map(([team, cards]) => [team, cards * size.times]));
    this.cluster = new SimulatedCluster(
      this.time,
      NODES,
      LIMITS,
      quota,
      size.perZone,
      (w, node, body, done) => {
        const n = this.controllers.get(node)!;
        const arrive = () => {
          if (this.time.happens(this.duplicateHeartbeatProbability)) this.deliverDuplicateLate(node, body);
          if (n.unreachable.has('workers') || this.isPartitioned(w, node) || w.isOutboundPartitioned) {
            if (this.partitionsResetConnections || w.isOutboundPartitioned) {
              done({ status: 500, body: null });
              return;
            }
            // Held packets: the report arrives when the cut is over.
            this.time.after(900, arrive);
            return;
          }
          const { controller, clock } = n;
          if (controller === null) {
            done({ status: 500, body: null });
            return;
          }
          clock.run(() => {
            const r = replyTo(controller, body);
            this.observe(node, `agent ${w.name}`, r);
            this.time.after(this.networkDelayMs(), () => {
              if (
                !clock.dead &&
                !n.unreachable.has('workers') &&
                !this.isPartitioned(w, node) &&
                !w.isInboundPartitioned
              )
                done(r);
            });
          });
        };
        this.time.after(this.networkDelayMs(), arrive);
      },
    );
    this.cluster.workerTickMs = size.workerTickMs ?? this.cluster.workerTickMs;
    this.state.pageRows = size.pageRows ?? this.state.pageRows;
    NODES.forEach((name, i) => {
      const n = new SimulatedController(this, name, ZONES[i % 2]!);
      n.runsPreviousVersion = upgrade;
      n.packages = packages;
      this.controllers.set(name, n);
      n.start();
    });
    let steps = 0;
    this.time.check = () => {
      if (this.failed !== null) throw this.failed;
      if (++steps % (size.checkEvery ?? 1) === 0) this.cluster.checkCancelled();
    };
    this.cluster.lastTaskDone = (id) => {
      if (!this.time.happens(this.cancelAtEndProbability)) return;
      this.cancel(id);
      this.retrySubmission(id);
    };
    const neglected = () => {
      const now = new Set(this.cluster.starvedJobs());
      for (const id of this.neglectedSince.keys()) if (!now.has(id)) this.neglectedSince.delete(id);
      for (const id of now) {
        const since = this.neglectedSince.get(id) ?? this.time.now;
        this.neglectedSince.set(id, since);
        const from = Math.max(since, this.faultsOverAt ?? Number.POSITIVE_INFINITY);
        if (this.time.now - from > NEGLECTED_MS)
          this.failed ??= new Error(`${id} waits though a machine has room`);
      }
      this.time.after(1000, neglected);
    };
    neglected();
    this.runUsers();
  }

  /** From then on there is no more trouble, and no job may wait for long where there is room for it. */
  faultsOverAt: number | null = null;
  private readonly neglectedSince = new Map<string, number>();

  /** The share of jobs that are called off, asked about and submitted again at the moment at which they end. */
  cancelAtEndProbability = 0;

  /** A question and a repeated submission at once, to whatever controllers. */
  retrySubmission(id: string): void {
    const job = this.cluster.submitted.get(id)!;
    const tell = (state: string | undefined) => {
      if (state !== undefined) this.recordObservedState(id, job, state);
    };
    const fail = (e: unknown) => {
      this.failed ??= asError(e);
    };
    this.askController((c) => c.jobs.find(jobId(id)))
      .then((r) => {
        tell(r?.state);
      })
      .catch(fail);
    this.askController((c) => c.jobs.submit(jobFromWire(job.body as never)))
      .then((r) => {
        assert.ok(r?.kind !== 'accepted' && r?.kind !== 'impossible', `a retry of ${id} was ${r?.kind}`);
        if (r?.kind === 'known') tell(r.state);
      })
      .catch(fail);
  }

  private invalidJobs = 0;
  invalidJobsRejected = 0;
  /** A job that can never run, then a question about it: it was never accepted. */
  submitInvalidJob(): void {
    const { time } = this;
    const id = `wk-odd-${++this.invalidJobs}`;
    const body = submission({
      nameId: id,
      tenant: 'red',
      ...time.pick([
        { tenant: 'nobody' },
        { vcpus: 17 },
        { cards: 5 },
        { memoryGb: 65 },
        { flavors: [] },
        { flavors: ['x'] },
        { vault: 'nowhere' },
        { shape: 'ensemble', cards: 4, shards: 100_000 },
      ]),
    });
    const go = async () => {
      for (;;) {
        const r = await this.askController((c) => c.jobs.submit(jobFromWire(body as never)));
        if (r !== null && r.kind !== 'later') {
          assert.equal(r.kind, 'impossible', `${id} was ${r.kind}: ${JSON.stringify(body)}`);
          this.invalidJobsRejected++;
          break;
        }
        await time.sleep(500);
      }
      const found = await this.askController((c) => c.jobs.find(jobId(id)).then((f) => ({ f })));
      assert.equal(found?.f, undefined, `invented: ${id}`);
    };
    go().catch((e: unknown) => {
      this.failed ??= asError(e);
    });
  }

  /** Nothing is slow or lost by itself, for tests of one trouble alone. */
  isSmooth = false;
  /** The share of changes that get no answer and are carried out seconds later, and how many were. */
  lateWriteProbability = 0;
  lateWritesApplied = 0;
  /** Up to how long the state service takes for a request. */
  maxStateDelayMs = 0;
  /** Zones that reach only their own controllers, with all that boots there meanwhile. */
  readonly partitionedZones = new Set<string>();
  isPartitioned(w: SimulatedAgent, node: string): boolean {
    const other = this.controllers.get(node)!.zone;
    const apart = w.zone !== other && (this.partitionedZones.has(w.zone) || this.partitionedZones.has(other));
    return apart || w.partitionedFrom.has(node);
  }
  /** Cuts reset connections; else they hold packets back. */
  partitionsResetConnections = false;
  /** How many reports come once more, later. */
  duplicateHeartbeatProbability = 0.03;

  /** A copy of a report, from seconds to well over a lease old, whoever runs there by then; nobody gets the answer. */
  private deliverDuplicateLate(node: string, body: Json): void {
    this.time.after(this.time.int(1000, LIMITS.leaseS * 2500), () => {
      const heartbeat = heartbeatFromWire(structuredClone(body));
      assert.ok(heartbeat !== null);
      const { controller, clock } = this.controllers.get(node)!;
      clock.run(() => controller?.heartbeats.answer(heartbeat));
    });
  }

  /** Mostly quick, now and then nearly as slow as a worker waits. */
  private networkDelayMs(): number {
    if (this.isSmooth) return this.time.int(1, 5);
    return this.time.happens(0.08) ? this.time.int(200, 3800) : this.time.int(1, 5);
  }

  private runUsers(): void {
    const { time } = this;
    const next = () => {
      if (time.now < 75_000) {
        if (this.submitsPipelines && time.happens(0.3)) this.pipeline();
        else this.submit();
      }
      const { everyMs } = this.size;
      time.after(time.int(Math.round(everyMs / 6), Math.round((everyMs * 11) / 6)), next);
    };
    next();
  }

  private async askController<T>(what: (c: Controller) => Promise<T>): Promise<T | null> {
    const { controller, clock, name } = this.controllers.get(this.time.pick(NODES))!;
    if (controller === null) return null;
    const answer = new Promise<T>((resolve, reject) => {
      clock.run(() => {
        what(controller).then((given) => {
          this.observe(name, 'user', given);
          resolve(given);
        }, reject);
      });
    });
    try {
      // A user waits for so long and asks again later; a controller that died never answers.
      return await Promise.race([answer, this.time.sleep(5000).then(() => null)]);
    } catch (e) {
      if (e instanceof Unavailable) return null;
      throw e;
    }
  }

  /** A user submits a job; what is not given is left to chance. */
  submit(given: JobOverrides = {}): string {
    const { time } = this;
    const kind = given.kind ?? time.pick(['sweep', 'sweep', 'ensemble', 'daemon']);
    const most = this.size.mostTasks;
    const tasks = given.tasks ?? time.int(1, kind === 'sweep' ? most : Math.ceil(most / 3));
    const id = `wk-${String(++this.jobs).padStart(6, '0')}`;
    const spread = kind === 'daemon' && time.happens(0.5);
    const body = submission({
      nameId: id,
      tenant: time.pick([...TEAMS.keys()]),
      shape: kind,
      shards: tasks,
      vcpus: time.int(1, 6),
      cards: time.int(0, 2),
      memoryGb: time.int(1, 16),
      loaner: kind === 'sweep',
      vault: kind === 'sweep' && time.happens(0.2) ? time.pick(ZONES) : null,
      samePlace: kind !== 'daemon' && time.happens(0.5),
      scatter: spread,
      tier: time.pick(['production', 'urgent', 'standard', 'low']),
      ...given.fields,
      ...(given.needs === undefined ? {} : { awaits: given.needs }),
    });
    const job = newJob({
      body,
      kind,
      tasks,
      runMs: given.runMs ?? time.int(500, 12_000),
      staggerMs: given.staggerMs ?? 0,
      alwaysFails: (time.happens(0.05) && given.kind === undefined) || given.alwaysFails === true,
      needs: given.needs ?? [],
    });
    this.cluster.submitted.set(id, job);
    const cancelAt =
      given.isNeverCancelled !== true && (kind === 'daemon' || job.alwaysFails || time.happens(0.15))
        ? time.now + time.int(50, 25_000)
        : null;
    const watch = async () => {
      while (!job.accepted) {
        const askedAt = time.now;
        const r = await this.askController((c) => c.jobs.submit(jobFromWire(body as never)));
        if (r !== null && r.kind !== 'later') {
          assert.notEqual(r.kind, 'impossible', `forgotten: ${id} is possible and was refused`);
          job.accepted = true;
          if (r.kind !== 'impossible') this.recordObservedState(id, job, r.state, askedAt);
        } else await time.sleep(500);
      }
      for (;;) {
        await time.sleep(time.int(300, 2500));
        if (cancelAt !== null && time.now > cancelAt) await this.requestCancellation(id, job);
        const askedAt = time.now;
        const s = await this.askController((c) => c.jobs.find(jobId(id)).then((found) => ({ found })));
        if (s === null) continue;
        job.answeredAt = time.now;
        assert.ok(s.found !== undefined, `forgotten: ${id}`);
        this.recordObservedState(id, job, s.found.state, askedAt);
        if (time.happens(0.05)) {
          // A retry of the submission at any later time must be known still.
          const r = await this.askController((c) => c.jobs.submit(jobFromWire(body as never)));
          if (r !== null && r.kind !== 'later') {
            assert.equal(r.kind, 'known', `a retry of ${id} was ${r.kind}`);
            this.recordObservedState(id, job, r.state);
          }
        }
      }
    };
    watch().catch((e: unknown) => {
      this.failed ??= asError(e);
    });
    return id;
  }

  /**
   * A pipeline, submitted stage by stage, each as soon as those that it needs are accepted; sometimes the last only when
   * the others are over, and sometimes a stage is called off.
   */
  pipeline(width = this.time.int(1, 3), off = this.time.happens(0.4)): string[] {
    const { time } = this;
    const ids: string[] = [];
    const stage = (needs: string[], fields: Json = {}) => {
      const kind = time.pick(['sweep', 'ensemble'] as const);
      const id = this.submit({
        kind,
        isNeverCancelled: true,
        tasks: time.int(1, 3),
        needs,
        fields: { cards: 0, ...fields },
      });
      ids.push(id);
      return id;
    };
    const accepted = async (...list: string[]) => {
      while (list.some((id) => !this.cluster.submitted.get(id)!.accepted)) await time.sleep(50);
    };
    const late = time.happens(0.2);
    const go = async () => {
      const first = stage([], { tier: 'low' });
      if (off)
        time.after(time.int(100, 12_000), () => {
          const known = ids.filter((id) => this.cluster.submitted.get(id)!.accepted);
          if (known.length > 0) this.cancel(time.pick(known));
        });
      await accepted(first);
      const middle = [...Array(width).keys()].map(() => stage([first], { tier: 'low' }));
      await accepted(...middle);
      if (late)
        while (middle.some((id) => this.cluster.submitted.get(id)!.observedFinalState === null))
          await time.sleep(300);
      const last = stage([...middle, ...(time.happens(0.3) ? [first] : [])], { tier: 'urgent', dueS: 40 });
      if (time.happens(0.3)) {
        await accepted(last);
        stage([last]);
      }
    };
    go().catch((e: unknown) => {
      this.failed ??= asError(e);
    });
    return ids;
  }

  private async requestCancellation(id: string, job: SubmittedJob): Promise<void> {
    if (job.observedFinalState !== null) return;
    job.isCancellationRequested = true;
    const r = await this.askController((c) => c.jobs.cancel(jobId(id)));
    assert.notEqual(r?.kind, 'not_found', `forgotten: ${id}`);
    if (r?.kind === 'final') this.recordObservedState(id, job, r.state);
  }

  /** Its user calls the job off and asks again until one of the finals is the answer. */
  cancel(id: string): void {
    const job = this.cluster.submitted.get(id)!;
    const go = async () => {
      while (job.observedFinalState === null) {
        await this.requestCancellation(id, job);
        await this.time.sleep(this.time.int(100, 600));
      }
    };
    go().catch((e: unknown) => {
      this.failed ??= asError(e);
    });
  }

  /** Accepted jobs that nobody has called off, with tasks on machines, those with most tasks first. */
  runningJobs(): string[] {
    const n = new Map<string, number>();
    for (const w of this.cluster.liveAgents())
      for (const t of w.tasks.values()) if (t.state !== 'ended') n.set(t.id, (n.get(t.id) ?? 0) + 1);
    const open = (id: string) => {
      const j = this.cluster.submitted.get(id)!;
      return j.accepted && !j.isCancellationRequested && j.observedFinalState === null;
    };
    return [...n]
      .filter(([id]) => open(id))
      .sort((a, b) => b[1] - a[1])
      .map(([id]) => id);
  }

  /** The controller that leads now, as the state service has it. */
  leader(): SimulatedController | undefined {
    const l = this.state.rows.get(key.leader)?.value as { node: string } | undefined;
    return l === undefined ? undefined : this.controllers.get(l.node);
  }

  /** A user is told a job's state; `askedAt`: when the question was asked, where it may have been long under way. */
  private recordObservedState(
    id: string,
    job: SubmittedJob,
    state: string,
    askedAt = Number.POSITIVE_INFINITY,
  ): void {
    this.observedAnswers++;
    if (job.observedFinalState !== null) assert.equal(state, job.observedFinalState, `went_back: ${id}`);
    if (state === 'pending' || state === 'running') {
      const from = this.cluster.cancelledFrom(id);
      // A question that was under way when the cancellation was told may have been decided before it.
      assert.ok(
        askedAt < from || this.time.now - from <= LIMITS.cancelS * 1000,
        `orphaned: ${id} is ${state}, and one that it needs was cancelled at ${from}`,
      );
    }
    if (state === 'done') {
      assert.equal(
        job.doneTasks.size,
        job.tasks,
        `not_done: ${id} has ${job.doneTasks.size} of ${job.tasks} done`,
      );
      job.observedFinalState = state;
    }
    if (state === 'cancelled') {
      assert.ok(this.cluster.isCancellationRequested(id), `went_back: ${id} was cancelled by nobody`);
      job.observedFinalState = state;
      job.observedCancelledAt ??= this.time.now;
    }
  }

  /**
   * From the time given on the processes end one after the other and come back new; then users submit pipelines, and
   * soon the limits of the state service fall.
   */
  upgrade(from: number): void {
    const { time } = this;
    const { size } = this;
    this.upcomingLimits = {
      value_kb: 2,
      txn_ops: Math.max(3, size.txnOps / 2),
      write_rps: size.writeRps * 0.75,
    };
    NODES.forEach((name, i) => {
      const n = this.controllers.get(name)!;
      time.after(from + i * 4000, () => {
        n.runsPreviousVersion = false;
        if (n.controller !== null) n.crash();
        time.after(700, () => {
          if (n.controller === null) n.start();
          if (i === NODES.length - 1) this.submitsPipelines = true;
        });
      });
    });
    time.after(from + NODES.length * 4000 + 3000, () => {
      this.state.valueBytes = 2048;
      this.state.budget = { ...size, writeRps: size.writeRps * 0.75, txnOps: this.upcomingLimits!.txn_ops };
    });
  }

  /** Troubles at random times, alone and together, until the time given. */
  injectFaults(until: number): void {
    const { time } = this;
    const next = () => {
      if (time.now > until) return;
      injectRandomFault(this);
      time.after(time.int(1500, 9000), next);
    };
    time.after(8000, next);
  }

  /** The state service refuses the leader alone; jobs are called off; then it is out for everybody. */
  refuseLeaderThenOutage(afterMs: number, forMs: number): void {
    const leader = this.leader();
    if (leader === undefined || this.state.outage) return;
    leader.isRefusedByState = true;
    for (const id of this.runningJobs().slice(0, 3)) this.cancel(id);
    this.time.after(afterMs, () => {
      for (const id of this.runningJobs().slice(0, 3)) this.cancel(id);
      this.state.setOutage(true);
    });
    this.time.after(afterMs + forMs, () => {
      this.state.setOutage(false);
      leader.isRefusedByState = false;
    });
  }
}

/** What a controller answers a worker's report, as it goes over the wire. */
function replyTo(controller: Controller, body: Json): HttpResponse {
  const heartbeat = heartbeatFromWire(body);
  assert.ok(heartbeat !== null);
  const a = controller.heartbeats.answer(heartbeat);
  if (a.kind === 'busy') return { status: 503, body: null };
  if (a.kind === 'elsewhere') return { status: 421, body: redirectToWire(a.node) };
  const commands = JSON.parse(JSON.stringify(commandsToWire(a.token, a.commands))) as Json;
  return { status: 200, body: commands };
}

/** A run in which nothing has gone wrong by itself up to the time given, for tests of one trouble alone. */
export async function runWithoutFaults(
  seed: number,
  size: SimulationSize,
  ms: number,
  packages?: SimulatedController['packages'],
): Promise<Simulation> {
  const simulation = new Simulation(seed, size, false, packages);
  simulation.duplicateHeartbeatProbability = 0;
  simulation.isSmooth = true;
  await simulation.time.runUntil(ms);
  return simulation;
}
