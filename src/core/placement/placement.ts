/**
 * Best-Fit DRFH over one controller's slice: the waiting team with the lowest weighted share is served next,
 * its task goes to the fitting machine with the least H, and a gang goes whole or not at all.
 */
import { fitness } from '../model/dominant-share.js';
import { unfinishedTasks } from '../jobs/done-tasks.js';
import { allowsMachineType, maxTasksPerZone } from '../jobs/feasibility.js';
import { compareJobs, type JobOrderContext } from '../jobs/job-order.js';
import type { AllocationTotals } from '../state/allocation-totals.js';
import { allocationFor } from '../state/allocations.js';
import { TASK_INDEX_BYTES, allocationBytes } from '../records/stored-records.js';
import type { Attempt, JobId, MachineName, TaskIndex, TeamName, Zone } from '../model/ids.js';
import { PRIORITY_RANK, type JobRecord, type JobSpec } from '../model/jobs.js';
import type { MachineRecord } from '../model/machines.js';
import { fitsWithin, addResources, tasksThatFit, type ResourceVector } from '../model/resources.js';

/** A task that is to start on a machine, with what decided it. */
export interface Placement {
  readonly job: JobSpec;
  readonly index: TaskIndex;
  readonly machine: MachineRecord;
  readonly attempt: Attempt;
  readonly share: number;
  readonly fitness: number;
  readonly fetchRank: number;
}

/** What a further record to write counts among machines that are alike otherwise: less than a fetch rank. */
const NEW_RECORD_PENALTY = 0.5;

/** The highest fetch rank: the machine is fetching other images, which share its rate. */
export const FETCH_RANK_BUSY = 3;

/** What a scheduling pass needs to know. */
export interface PlacementInput {
  readonly jobs: Iterable<JobRecord>;
  /** Machines that new work may be put on; the ledger covers every machine. */
  readonly machines: readonly MachineRecord[];
  readonly totals: AllocationTotals;
  readonly newAttempt: () => Attempt;
  /** How long the machine would need for the image, as a rank: 0 where it has it. Only a tie-break beside H. */
  readonly fetchRank: (machine: MachineRecord, image: string) => number;
  /** Machines that a job should not go to again for now. */
  readonly isAvoided: (job: JobId, machine: MachineName) => boolean;
  /** How many bytes a record has left for further tasks (its size is limited). */
  readonly recordBytesLeft: (machine: MachineName) => number;
  /** So many tasks are placed at most, on so many machines: each of these is a change to write. */
  readonly maxPlacements: number;
  readonly maxMachines: number;
  readonly order: Omit<JobOrderContext, 'hasTasks'>;
  /** Leaves empty ordinary machines to gangs that wait for them, since it may use spot machines. */
  readonly leavesWholeMachinesToGangs: (job: JobRecord) => boolean;
  /** There are jobs that need whole machines, so empty ones are opened last. */
  readonly preferPartlyUsedMachines: boolean;
  /** A gang that has waited so long that room is kept for it. */
  readonly mayReserve: (job: JobRecord) => boolean;
  /** The job has waited too long to be left behind a gang that waits for its team's limit. */
  readonly isStarving: (job: JobRecord) => boolean;
  /** The job fails wherever it runs: of its tasks only one is tried at a time. */
  readonly isFailingEverywhere: (job: JobRecord) => boolean;
  /** Machines whose H differs by less than this count as fitting alike. */
  readonly fitnessTolerance: number;
}

/** Why a job of the team was passed over: for the status command and the logs. */
export type WaitReason = 'team_limit' | 'no_room' | 'old_attempt' | 'behind_gang' | 'failing';

/** The starts of one pass, and why the other jobs wait. */
export interface PlacementResult {
  readonly placements: readonly Placement[];
  readonly waitReasons: ReadonlyMap<JobId, WaitReason>;
}

interface CandidateMachine {
  readonly m: MachineRecord;
  /** What its record has left, and the jobs that this pass has given an entry there. */
  bytes: number;
  readonly entries: Set<JobId>;
  /** Tasks on it, those of this pass included. */
  used: number;
  /** Images that this pass makes it fetch. */
  readonly fetches: Set<string>;
  /** The gang that it is kept for. */
  heldFor: JobSpec | null;
}

/** The active jobs of each team, in the order in which they are served. */
function queuesByTeam(
  jobs: Iterable<JobRecord>,
  order: (a: JobRecord, b: JobRecord) => number,
): Map<TeamName, JobRecord[]> {
  const queues = new Map<TeamName, JobRecord[]>();
  for (const job of jobs) {
    if (job.phase !== 'active') continue;
    const queue = queues.get(job.spec.team);
    if (queue === undefined) queues.set(job.spec.team, [job]);
    else queue.push(job);
  }
  for (const queue of queues.values()) queue.sort(order);
  return queues;
}

/** The least that any of the jobs asks for of each resource; null where there are none. */
function leastDemand(queues: Iterable<readonly JobRecord[]>): ResourceVector | null {
  let least: ResourceVector | null = null;
  for (const queue of queues)
    for (const { spec } of queue) {
      const known: ResourceVector = least ?? spec.demand;
      const { demand } = spec;
      least = [Math.min(demand[0], known[0]), Math.min(demand[1], known[1]), Math.min(demand[2], known[2])];
    }
  return least;
}

/** Most machines are full most of the time: only those are looked at that can take the least of the demands. */
function openRooms(
  { machines: shard, totals, recordBytesLeft }: PlacementInput,
  least: ResourceVector | null,
): CandidateMachine[] {
  if (least === null) return [];
  const open = shard.filter((m) => fitsWithin(least, totals.freeByMachine.get(m.name)!));
  return open.map((m) => ({
    m,
    bytes: recordBytesLeft(m.name),
    entries: new Set(),
    used: m.placed.length,
    fetches: new Set(),
    heldFor: null,
  }));
}

/** Places waiting tasks; the ledger is left as it was. */
export function placeTasks(input: PlacementInput): PlacementResult {
  const { totals } = input;
  const placements: Placement[] = [];
  const waitReasons = new Map<JobId, WaitReason>();

  const order = compareJobs({ ...input.order, hasTasks: (id) => totals.jobs.has(id) });
  const queues = queuesByTeam(input.jobs, order);
  const rooms = openRooms(input, leastDemand(queues.values()));
  const next = new Map<JobId, Iterator<TaskIndex>>();
  const attempts = new Map<JobId, Attempt>();

  /** For how many more of the job's tasks the record has room: those of one pass share an entry. */
  const slots = ({ bytes, entries }: CandidateMachine, spec: JobSpec): number =>
    Math.floor((bytes - (entries.has(spec.id) ? 0 : allocationBytes(spec))) / TASK_INDEX_BYTES);

  const rankOf = (room: CandidateMachine, image: string): number => {
    const rank = input.fetchRank(room.m, image);
    if (rank === 0 || room.fetches.size === 0) return rank;
    return room.fetches.has(image) ? Math.min(rank, 1) : FETCH_RANK_BUSY;
  };

  const pick = (
    spec: JobSpec,
    taken: ReadonlyMap<MachineName, number>,
    zone: Zone | null,
    zones: Map<Zone, number>,
    yielding = false,
  ) => {
    const cap = maxTasksPerZone(spec);
    let best: CandidateMachine | null = null;
    let bestH = 0;
    let bestTier = 0;
    let bestTie = 0;
    for (const room of rooms) {
      const { m } = room;
      if (kept(room, spec) || !allowsMachineType(spec, m.type) || (m.spot && !spec.spot)) continue;
      if (spec.zone !== null && m.zone !== spec.zone) continue;
      if (zone !== null && m.zone !== zone) continue;
      if ((zones.get(m.zone) ?? 0) >= cap) continue;
      const n = taken.get(m.name) ?? 0;
      if (slots(room, spec) <= n) continue;
      const free: ResourceVector = addResources(totals.freeByMachine.get(m.name)!, spec.demand, -n);
      if (!fitsWithin(spec.demand, free) || input.isAvoided(spec.id, m.name)) continue;
      const h = fitness(spec.demand, free, totals.fleetCapacity);
      // H decides among the machines in use. An empty one is opened only when nothing in use fits: H looks at
      // shape and not at size, and would else put something small on every machine that a gang needs whole.
      // Of the empty ones, those go first that fewer jobs may use.
      const empty = room.used + n === 0;
      // Among machines whose shape fits alike: one that has the image, and of those one whose record this pass writes in
      // any case. H changes with each task, so that by H alone the tasks of an array went to a machine each, and each
      // start was a change of its own. Replicas of a service are better off apart.
      const rank = rankOf(room, spec.image);
      const written = room.entries.size > 0 || n > 0;
      const tie = rank + (written || spec.kind === 'service' ? 0 : NEW_RECORD_PENALTY);
      // Where nobody needs whole machines, an empty one is better than one that is busy fetching other images.
      // Work that may use spot machines leaves the others to work that may not, while it has a choice.
      if (empty && yielding && !m.spot) continue;
      const tier =
        (spec.spot && !m.spot ? 8 : 0) +
        (empty ? (input.preferPartlyUsedMachines ? 4 : 1) : rank === FETCH_RANK_BUSY ? 2 : 0);
      const better =
        best === null ||
        tier < bestTier ||
        (tier === bestTier &&
          (h < bestH - input.fitnessTolerance ||
            (h < bestH + input.fitnessTolerance && (tie < bestTie || (tie === bestTie && h < bestH)))));
      if (better) {
        best = room;
        bestH = h;
        bestTier = tier;
        bestTie = tie;
      }
    }
    return best === null ? null : { room: best, h: bestH };
  };

  /** A quick look whether so many tasks can fit at all, before machines are chosen one by one. */
  const hasRoom = (spec: JobSpec, zone: Zone | null): boolean => {
    let n = 0;
    for (const room of rooms) {
      n += times(room, spec, zone);
      if (n >= spec.tasks) return true;
    }
    return false;
  };

  /** How many tasks of the job the machine could take, as far as this quick look tells. */
  const times = (room: CandidateMachine, spec: JobSpec, zone: Zone | null): number => {
    const { m } = room;
    if (kept(room, spec) || !allowsMachineType(spec, m.type) || (m.spot && !spec.spot)) return 0;
    if ((zone ?? spec.zone ?? m.zone) !== m.zone) return 0;
    return Math.min(slots(room, spec), tasksThatFit(spec.demand, totals.freeByMachine.get(m.name)!));
  };

  /** Kept for a gang of at least the same priority. */
  const kept = ({ heldFor }: CandidateMachine, spec: JobSpec): boolean =>
    heldFor !== null &&
    heldFor.id !== spec.id &&
    PRIORITY_RANK[heldFor.priority] <= PRIORITY_RANK[spec.priority];

  /**
   * A gang that is next in its team's order and has found no room for a while keeps what there is of it, in the zone
   * that has most: else smaller work takes each machine that comes free, and a gang of many whole machines waits for
   * ever. One gang at a time, so that no two each hold half of what both need, and the other zones serve the rest.
   */
  const heldFor: JobSpec[] = [];
  const hold = (spec: JobSpec): void => {
    heldFor.push(spec);
    const zones: (Zone | null)[] = spec.oneZone ? [...new Set(rooms.map((r) => r.m.zone))].sort() : [null];
    let best: CandidateMachine[] = [];
    for (const zone of zones) {
      const fitting = rooms.filter((r) => times(r, spec, zone) > 0).slice(0, spec.tasks);
      if (fitting.length > best.length) best = fitting;
    }
    for (const r of best) r.heldFor = spec;
  };

  const put = (
    spec: JobSpec,
    index: TaskIndex,
    room: CandidateMachine,
    att: Attempt,
    share: number,
    h: number,
  ) => {
    const fetchRank = rankOf(room, spec.image);
    if (fetchRank > 0) room.fetches.add(spec.image);
    machines.add(room.m.name);
    placements.push({ job: spec, index, machine: room.m, attempt: att, share, fitness: h, fetchRank });
    room.bytes -= TASK_INDEX_BYTES + (room.entries.has(spec.id) ? 0 : allocationBytes(spec));
    room.entries.add(spec.id);
    room.used++;
    totals.addAllocation(room.m, allocationFor(spec, att, [index]));
  };

  const tryGang = (j: JobRecord, share: number): WaitReason | null => {
    const { spec } = j;
    if (totals.jobs.has(spec.id)) return 'old_attempt';
    if (!totals.isWithinQuota(spec.team, spec.demand, spec.tasks)) return 'team_limit';
    const zones: (Zone | null)[] = spec.oneZone ? [...new Set(rooms.map((r) => r.m.zone))].sort() : [null];
    let best: { room: CandidateMachine; h: number }[] | null = null;
    let bestH = 0;
    for (const zone of zones) {
      if (!hasRoom(spec, zone)) continue;
      const taken = new Map<MachineName, number>();
      const perZone = new Map<Zone, number>();
      const chosen: { room: CandidateMachine; h: number }[] = [];
      let sum = 0;
      while (chosen.length < spec.tasks) {
        const c = pick(spec, taken, zone, perZone);
        if (c === null) break;
        chosen.push(c);
        sum += c.h;
        taken.set(c.room.m.name, (taken.get(c.room.m.name) ?? 0) + 1);
        perZone.set(c.room.m.zone, (perZone.get(c.room.m.zone) ?? 0) + 1);
      }
      if (chosen.length < spec.tasks) continue;
      if (best === null || sum < bestH) {
        best = chosen;
        bestH = sum;
      }
    }
    if (best === null) return 'no_room';
    const att = input.newAttempt();
    best.forEach((c, i) => {
      put(spec, i, c.room, att, share, c.h);
    });
    return null;
  };

  const tryOne = (j: JobRecord, share: number): WaitReason | null | 'nothing_left' => {
    const { spec } = j;
    let it = next.get(spec.id);
    if (it === undefined) {
      it = unfinishedTasks(j);
      next.set(spec.id, it);
    }
    const placement = totals.jobs.get(spec.id);
    let index: TaskIndex;
    for (;;) {
      const r = it.next();
      if (r.done === true) return 'nothing_left';
      if (placement?.tasks.has(r.value) !== true) {
        index = r.value;
        break;
      }
    }
    if (placement !== undefined && input.isFailingEverywhere(j)) return 'failing';
    if (!totals.isWithinQuota(spec.team, spec.demand, 1)) return 'team_limit';
    const zones = placement?.tasksPerZone ?? new Map<Zone, number>();
    const only = spec.oneZone ? ([...zones].find(([, n]) => n > 0)?.[0] ?? null) : null;
    const c = pick(spec, new Map(), only, zones, input.leavesWholeMachinesToGangs(j));
    if (c === null) return 'no_room';
    // One number for all that this pass starts of the job: it tells this start of a task from its others, and tasks of one
    // number share an entry of their machine's record.
    let att = attempts.get(spec.id);
    if (att === undefined) attempts.set(spec.id, (att = input.newAttempt()));
    put(spec, index, c.room, att, share, c.h);
    return null;
  };

  const machines = new Set<MachineName>();
  while (queues.size > 0 && placements.length < input.maxPlacements && machines.size < input.maxMachines) {
    let team: TeamName | null = null;
    let share = Number.POSITIVE_INFINITY;
    for (const name of queues.keys()) {
      const s = totals.dominantShareOf(name);
      if (s < share || (s === share && team !== null && name < team)) {
        team = name;
        share = s;
      }
    }
    if (team === null) break;
    const queue = queues.get(team)!;
    let served = false;
    while (queue.length > 0 && !served) {
      const j = queue[0]!;
      const why = j.spec.kind === 'gang' ? tryGang(j, share) : tryOne(j, share);
      if (why === null) {
        served = true;
        if (j.spec.kind === 'gang') queue.shift();
      } else {
        if (why !== 'nothing_left') waitReasons.set(j.spec.id, why);
        if (why === 'no_room' && j.spec.kind === 'gang' && heldFor.length === 0 && input.mayReserve(j))
          hold(j.spec);
        queue.shift();
        // A gang next in its team's order that waits for the team's limit only: smaller work behind it would take
        // each bit of the limit that comes free, and the gang would wait for ever. What has waited for long goes all the
        // same: a job that waits for a minute and more beside free room counts as neglected.
        const { spec } = j;
        if (
          why === 'team_limit' &&
          spec.kind === 'gang' &&
          totals.willFitQuota(spec.team, spec.demand, spec.tasks)
        ) {
          const behind = queue.splice(0);
          for (const later of behind) {
            if (input.isStarving(later)) queue.push(later);
            else waitReasons.set(later.spec.id, 'behind_gang');
          }
        }
      }
    }
    if (queue.length === 0) queues.delete(team);
  }
  // The ledger is everybody's: what was put on paper here counts once it is committed.
  for (const p of placements) totals.removeAllocation(p.machine, allocationFor(p.job, p.attempt, [p.index]));
  return { placements, waitReasons };
}
