/** The leader's plan for the fleet: which machines change shard, which are rented and which are returned. Packs what waits as the shard controllers will, so it errs by a machine now and then; the next plan, a second later, starts from what really happened. */
import { TASK_WINDOW } from '../jobs/done-tasks.js';
import { allowsMachineType, maxTasksPerZone } from '../jobs/feasibility.js';
import { compareJobs } from '../jobs/job-order.js';
import type { Zone, NodeName, TeamName } from '../model/ids.js';
import { type JobSpec, PRIORITY_RANK, type JobRecord } from '../model/jobs.js';
import type { MachineType, MachineRecord } from '../model/machines.js';
import {
  fitsWithin,
  tasksThatFit,
  addResources,
  type ResourceVector,
  NO_RESOURCES,
} from '../model/resources.js';
import type { JobAllocations } from '../state/allocation-totals.js';
import { reclaimMachines } from './machine-reclaim.js';
import type {
  ScalingInput,
  PackingBin,
  ScalingPlan,
  RentalRequest,
  PendingDemand,
  UnmetDemand,
} from './scaling-types.js';
import { rebalanceShards } from './shard-rebalancing.js';

/** Cheapest type for the task by price per task that fits; the price of the kind it would be rented as. */
function rentalOptions(
  spec: JobSpec,
  input: ScalingInput,
): { type: MachineType; zone: Zone; spot: boolean }[] {
  const out: { type: MachineType; zone: Zone; spot: boolean; cost: number }[] = [];
  for (const type of input.types) {
    if (!allowsMachineType(spec, type.name) || !fitsWithin(spec.demand, type.capacity)) continue;
    let per = Number.POSITIVE_INFINITY;
    for (const r of [0, 1, 2] as const)
      if (spec.demand[r] > 0) per = Math.min(per, Math.floor(type.capacity[r] / spec.demand[r]));
    for (const zone of type.zones) {
      if (spec.zone !== null && zone !== spec.zone) continue;
      for (const spot of spec.spot ? [true, false] : [false]) {
        if (!input.isAvailable(type.name, zone, spot)) continue;
        out.push({ type, zone, spot, cost: (spot ? type.spotPrice : type.price) / per });
      }
    }
  }
  return out.sort((a, b) => a.cost - b.cost);
}

/** Machines that are there or being rented, with the room that they have now. */
function packingBins(input: ScalingInput): PackingBin[] {
  const { totals } = input;
  const bins: PackingBin[] = [];
  const typeOf = new Map(input.types.map((t) => [t.name, t]));
  for (const m of input.machines) {
    if (!input.isUsable(m)) continue;
    bins.push({
      machine: m,
      type: m.type,
      zone: m.zone,
      spot: m.spot,
      isEmpty: m.placed.length === 0,
      shard: m.owner,
      free: totals.freeByMachine.get(m.name)!,
      plannedTasks: 0,
    });
  }
  for (const r of input.rentals) {
    const t = typeOf.get(r.type);
    for (const shard of t === undefined ? [] : r.owners)
      bins.push({
        machine: null,
        type: r.type,
        zone: r.zone,
        spot: r.spot,
        isEmpty: false,
        shard,
        free: t!.capacity,
        plannedTasks: 0,
      });
  }
  return bins;
}

/** Plans moves, rentals and returns; pure, and made anew from the present state each time. */
export function planScaling(input: ScalingInput): ScalingPlan {
  const { totals } = input;
  const waiting = [...input.jobs]
    .filter((j) => j.phase === 'active' && input.shardByTeam.has(j.spec.team))
    .sort(compareJobs({ ...input.order, hasTasks: (id) => totals.jobs.has(id) }));
  const bins = packingBins(input);
  const perZone = new Map<Zone, number>();
  for (const b of bins) perZone.set(b.zone, (perZone.get(b.zone) ?? 0) + 1);

  // Most machines are full most of the time, and need not be looked at again for each job.
  const demands = [...waiting.map((j) => j.spec), ...input.headroom.map((r) => r.spec)].map((s) => s.demand);
  const open = bins.filter((b) => b.isEmpty || demands.some((d) => fitsWithin(d, b.free)));

  const moves: { machine: MachineRecord; to: NodeName }[] = [];
  const rentals: RentalRequest[] = [];
  /** Those that wait for room that cannot be rented now. */
  const refusedWants: UnmetDemand[] = [];
  const isUp = (b: PackingBin) => b.machine?.phase === 'up';
  /** Another slice does not need it now. */
  const spare = (b: PackingBin) => isUp(b) && b.plannedTasks === 0 && input.isMovable(b.machine!);
  const score = (b: PackingBin, spec: JobSpec) =>
    (isUp(b) ? 4 : b.machine !== null ? 2 : 0) +
    (b.spot === spec.spot ? 16 : 0) +
    (b.isEmpty && b.plannedTasks === 0 ? 0 : 8);

  /** How many tasks of the job the bin could take. */
  const room = (b: PackingBin, spec: JobSpec, zone: Zone | null): number => {
    if (!allowsMachineType(spec, b.type) || (b.spot && !spec.spot)) return 0;
    if ((zone ?? spec.zone ?? b.zone) !== b.zone || (spec.zone ?? b.zone) !== b.zone) return 0;
    return tasksThatFit(spec.demand, b.free);
  };

  /** Puts as many tasks as it can on paper, on the bins allowed; the best are filled first. */
  const fill = (
    w: PendingDemand,
    most: number,
    may: (b: PackingBin) => boolean,
    taken?: (b: PackingBin) => void,
  ): number => {
    const { spec } = w;
    if (most <= 0) return 0;
    const able = open.filter(
      (b) =>
        may(b) &&
        !(w.leavesWholeMachinesToGangs && b.machine !== null && b.isEmpty && !b.spot) &&
        room(b, spec, w.zone) > 0,
    );
    if (able.length > 1) {
      const scores = new Map(able.map((b) => [b, score(b, spec)]));
      able.sort((x, y) => scores.get(y)! - scores.get(x)!);
    }
    let left = most;
    for (const b of able) {
      if (left === 0) break;
      const n = Math.min(
        left,
        room(b, spec, w.zone),
        maxTasksPerZone(spec) - (w.tasksPerZone.get(b.zone) ?? 0),
      );
      if (n <= 0) continue;
      taken?.(b);
      b.free = addResources(b.free, spec.demand, -n);
      b.plannedTasks += n;
      w.tasksPerZone.set(b.zone, (w.tasksPerZone.get(b.zone) ?? 0) + n);
      left -= n;
      // The first task of a job whose tasks must share a zone decides which.
      if (spec.oneZone) w.zone ??= b.zone;
    }
    return most - left;
  };

  /** On machines of the slice itself that are up. */
  const fillOwn = (w: PendingDemand, most: number) => fill(w, most, (b) => b.shard === w.shard && isUp(b));

  /** What the slice has no room for: machines that another slice does not need now, those that boot, new ones. */
  const fillMore = (w: PendingDemand): void => {
    const { spec, shard } = w;
    let left = w.tasks - fillOwn(w, w.tasks);
    left -= fill(
      w,
      left,
      (b) => b.shard !== shard && spare(b),
      (b) => {
        b.shard = shard;
        moves.push({ machine: b.machine!, to: shard });
      },
    );
    left -= fill(w, left, (b) => b.shard === shard);
    const choices = left > 0 ? rentalOptions(spec, input) : [];
    while (left > 0) {
      let choice: { type: MachineType; zone: Zone; spot: boolean } | null = null;
      let cost = 0;
      for (const c of choices) {
        if (w.zone !== null && c.zone !== w.zone) continue;
        if ((w.tasksPerZone.get(c.zone) ?? 0) >= maxTasksPerZone(spec)) continue;
        const price = c.spot ? c.type.spotPrice : c.type.price;
        if (choice !== null && price > cost * 1.001) continue;
        if (choice === null || (perZone.get(c.zone) ?? 0) < (perZone.get(choice.zone) ?? 0)) {
          choice = c;
          cost = price;
        }
      }
      if (choice === null) {
        refusedWants.push({ demand: w, tasks: left });
        return;
      }
      rentals.push({ type: choice.type.name, zone: choice.zone, spot: choice.spot, shard });
      perZone.set(choice.zone, (perZone.get(choice.zone) ?? 0) + 1);
      const fresh: PackingBin = {
        machine: null,
        type: choice.type.name,
        zone: choice.zone,
        spot: choice.spot,
        isEmpty: false,
        shard,
        free: choice.type.capacity,
        plannedTasks: 0,
      };
      open.push(fresh);
      left -= fill(w, left, (b) => b === fresh);
    }
  };

  /** A gang's zone: the one where least has to be rented. Null where it cannot be had now. */
  const gangZone = (
    spec: JobSpec,
    may: (b: PackingBin) => boolean,
    refused = false,
  ): { missing: number; zone: Zone | null } | null => {
    const zones: (Zone | null)[] = spec.oneZone
      ? [...new Set(input.types.flatMap((t) => t.zones))].sort()
      : [null];
    let best: { missing: number; zone: Zone | null } | null = null;
    for (const zone of zones) {
      let missing = spec.tasks;
      for (const b of open) {
        if (missing <= 0) break;
        if (may(b)) missing -= room(b, spec, zone);
      }
      missing = Math.max(0, missing);
      if (
        missing > 0 &&
        !refused &&
        !rentalOptions(spec, input).some((c) => zone === null || c.zone === zone)
      )
        continue;
      if (best === null || missing < best.missing) best = { missing, zone };
    }
    return best;
  };

  const headroom = new Map<TeamName, ResourceVector>();
  const fitsLimit = (spec: JobSpec) =>
    totals.tasksWithinQuota(spec.team, spec.demand, headroom.get(spec.team) ?? NO_RESOURCES);
  const count = (spec: JobSpec, n: number) =>
    headroom.set(spec.team, addResources(headroom.get(spec.team) ?? NO_RESOURCES, spec.demand, n));

  // First what each slice can take by itself now, so that no slice loses a machine that it needs; then what others
  // have to spare now; only then what boots, or is to be rented.
  const rest: PendingDemand[] = [];
  const holders = new Set<NodeName>();
  const keeping = new Set<PendingDemand>();
  for (const j of waiting) {
    const { spec } = j;
    const shard = input.shardByTeam.get(spec.team)!;
    const placement = totals.jobs.get(spec.id);
    const tasksPerZone = new Map<Zone, number>(placement?.tasksPerZone);
    const w: PendingDemand = {
      spec,
      shard,
      tasks: startableTasks(j, placement),
      zone: requiredZone(spec, tasksPerZone),
      tasksPerZone,
      leavesWholeMachinesToGangs: input.leavesWholeMachinesToGangs(j),
    };
    if (spec.kind === 'gang') {
      if (placement !== undefined || fitsLimit(spec) < spec.tasks) continue;
      count(spec, spec.tasks);
      const at = gangZone(spec, (b) => b.shard === shard && isUp(b), true);
      w.zone = at?.zone ?? null;
      if (at?.missing === 0) fillOwn(w, spec.tasks);
      else if (at !== null && !holders.has(shard) && input.mayReserve(j)) {
        // Its owner keeps for it what there is of its room: others must not count on that, nor is it returned.
        holders.add(shard);
        w.tasks -= fillOwn(w, spec.tasks);
        keeping.add(w);
        rest.push(w);
      } else rest.push(w);
      continue;
    }
    w.tasks = Math.min(w.tasks, fitsLimit(spec));
    if (w.tasks <= 0) continue;
    count(spec, w.tasks);
    w.tasks -= fillOwn(w, w.tasks);
    if (w.tasks > 0) rest.push(w);
  }
  // What is to spare goes to the team with the lowest share first, as it does within a slice; what has priority before.
  const rank = (w: PendingDemand) => PRIORITY_RANK[w.spec.priority];
  rest.sort(
    (a, b) => rank(a) - rank(b) || totals.dominantShareOf(a.spec.team) - totals.dominantShareOf(b.spec.team),
  );
  for (const w of rest) {
    if (w.spec.kind === 'gang' && !keeping.has(w)) {
      const at = gangZone(w.spec, (b) => b.shard === w.shard || spare(b));
      if (at === null) {
        refusedWants.push({ demand: w, tasks: w.tasks });
        continue;
      }
      w.zone = at.zone;
    }
    fillMore(w);
  }
  for (const r of input.headroom) {
    const shard = input.shardByTeam.get(r.spec.team);
    if (shard === undefined) continue;
    const w: PendingDemand = {
      spec: r.spec,
      shard,
      tasks: r.tasks,
      zone: null,
      tasksPerZone: new Map(),
      leavesWholeMachinesToGangs: false,
    };
    // Room in any slice will do: it changes slice when it is needed.
    w.tasks -= fill(w, w.tasks, () => true);
    fillMore(w);
  }
  for (const { bin, to } of movesDuringShortage(input, bins, rest, refusedWants))
    moves.push({ machine: bin.machine!, to });
  const releases: MachineRecord[] = [];
  for (const b of open)
    if (b.machine !== null && b.isEmpty && b.plannedTasks === 0 && input.isIdle(b.machine))
      releases.push(b.machine);
  return { moves, rentals, releases };
}

/** Tasks that could be started now, as far as the job tells; of one that fails everywhere, one at a time. */
function startableTasks(j: JobRecord, placement: JobAllocations | undefined): number {
  const placed = placement?.tasks.size ?? 0;
  const open = Math.max(0, Math.min(j.spec.tasks, j.done.base + TASK_WINDOW) - j.done.count - placed);
  return j.failing === undefined ? open : Math.min(open, Math.max(0, 1 - placed));
}

/** The zone that the job's tasks must share with those placed already. */
const requiredZone = (spec: JobSpec, zones: ReadonlyMap<Zone, number>): Zone | null =>
  spec.oneZone ? ([...zones].find(([, n]) => n > 0)?.[0] ?? null) : null;

/** Busy machines that change slice while the cloud has no room: for higher priorities first, then to level shares. */
function movesDuringShortage(
  input: ScalingInput,
  bins: readonly PackingBin[],
  rest: readonly PendingDemand[],
  refused: readonly UnmetDemand[],
): { bin: PackingBin; to: NodeName }[] {
  if (refused.length === 0) return [];
  const toReclaim = reclaimMachines(input, bins, refused);
  return toReclaim.length > 0 ? toReclaim : rebalanceShards(input, bins, rest);
}
