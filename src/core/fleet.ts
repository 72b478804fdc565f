/**
 * The leader's plan for the fleet: how many machines each slice needs for what waits, which empty machines
 * change slice, what to rent and what to return. It packs on paper what the controllers will place, so the
 * result errs by a machine now and then; the next plan, a second later, sees what really happened.
 */
import { WINDOW, typeAllowed, zoneCap } from './jobs.js';
import type { JobAllocations, AllocationTotals } from './ledger.js';
import { levelled } from './fleet-levelling.js';
import { reclaimed, type RefusedWant } from './fleet-reclaim.js';
import { jobOrder, type OrderContext } from './job-order.js';
import {
  NO_RESOURCES,
  PRIORITY_RANK,
  fitsWithin,
  addResources,
  tasksThatFit,
  type ResourceVector,
  type JobRecord,
  type JobSpec,
  type MachineRecord,
  type MachineType,
  type NodeName,
  type RentalRecord,
  type TeamName,
  type TypeName,
  type Zone,
} from './types.js';

/** A machine to rent, and the slice that it is for. */
export interface RentalNeed {
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  readonly owner: NodeName;
}

/** What the plan is made from. */
export interface FleetInput {
  readonly jobs: Iterable<JobRecord>;
  readonly machines: readonly MachineRecord[];
  readonly rentals: Iterable<RentalRecord>;
  readonly ledger: AllocationTotals;
  readonly types: readonly MachineType[];
  readonly owners: ReadonlyMap<TeamName, NodeName>;
  readonly order: Omit<OrderContext, 'hasTasks'>;
  /** Up, reporting and not draining; or booting and not overdue. */
  readonly usable: (m: MachineRecord) => boolean;
  /** Its owner has shown it its token: one that hears nobody must not go from slice to slice, each time anew. */
  readonly movable: (m: MachineRecord) => boolean;
  readonly yields: (job: JobRecord) => boolean;
  /** A gang that has waited so long that its owner keeps room for it. */
  readonly mayHold: (job: JobRecord) => boolean;
  /** Room to keep beside what waits, as tasks of a class's usual shape. */
  readonly reserve: readonly Reserve[];
  /** False while the cloud refuses this type, zone and kind. */
  readonly available: (type: TypeName, zone: Zone, spot: boolean) => boolean;
  /** Empty machines idle long enough to be returned. */
  readonly idle: (m: MachineRecord) => boolean;
}

/** Room to keep for so many tasks of this shape. */
export interface Reserve {
  readonly spec: JobSpec;
  readonly tasks: number;
}

/** What the leader is to do now. */
export interface FleetPlan {
  readonly moves: readonly { readonly machine: MachineRecord; readonly to: NodeName }[];
  readonly rentals: readonly RentalNeed[];
  readonly releases: readonly MachineRecord[];
}

/** Tasks of one job that want room. */
export interface Want {
  readonly spec: JobSpec;
  readonly node: NodeName;
  tasks: number;
  /** The only zone that they may go to. */
  zone: Zone | null;
  readonly zones: Map<Zone, number>;
  /** It leaves empty ordinary machines to gangs. */
  readonly yields: boolean;
}

/** A machine that is there, boots, is being rented or is to be rented, with the room that the plan leaves on it. */
export interface Bin {
  readonly real: MachineRecord | null;
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  readonly empty: boolean;
  owner: NodeName;
  free: ResourceVector;
  taken: number;
}

/** Cheapest type for the task by price per task that fits; the price of the kind it would be rented as. */
function chooseType(spec: JobSpec, input: FleetInput): { type: MachineType; zone: Zone; spot: boolean }[] {
  const out: { type: MachineType; zone: Zone; spot: boolean; cost: number }[] = [];
  for (const type of input.types) {
    if (!typeAllowed(spec, type.name) || !fitsWithin(spec.demand, type.capacity)) continue;
    let per = Number.POSITIVE_INFINITY;
    for (const r of [0, 1, 2] as const)
      if (spec.demand[r] > 0) per = Math.min(per, Math.floor(type.capacity[r] / spec.demand[r]));
    for (const zone of type.zones) {
      if (spec.zone !== null && zone !== spec.zone) continue;
      for (const spot of spec.spot ? [true, false] : [false]) {
        if (!input.available(type.name, zone, spot)) continue;
        out.push({ type, zone, spot, cost: (spot ? type.spotPrice : type.price) / per });
      }
    }
  }
  return out.sort((a, b) => a.cost - b.cost);
}

/** Machines that are there or being rented, with the room that they have now. */
function binsOf(input: FleetInput): Bin[] {
  const { ledger: totals } = input;
  const bins: Bin[] = [];
  const typeOf = new Map(input.types.map((t) => [t.name, t]));
  for (const m of input.machines) {
    if (!input.usable(m)) continue;
    bins.push({
      real: m,
      type: m.type,
      zone: m.zone,
      spot: m.spot,
      empty: m.placed.length === 0,
      owner: m.owner,
      free: totals.freeByMachine.get(m.name)!,
      taken: 0,
    });
  }
  for (const r of input.rentals) {
    const t = typeOf.get(r.type);
    for (const owner of t === undefined ? [] : r.owners)
      bins.push({
        real: null,
        type: r.type,
        zone: r.zone,
        spot: r.spot,
        empty: false,
        owner,
        free: t!.capacity,
        taken: 0,
      });
  }
  return bins;
}

/** Plans moves, rentals and returns; pure, and made anew from the present state each time. */
export function planFleet(input: FleetInput): FleetPlan {
  const { ledger: totals } = input;
  const waiting = [...input.jobs]
    .filter((j) => j.phase === 'active' && input.owners.has(j.spec.team))
    .sort(jobOrder({ ...input.order, hasTasks: (id) => totals.jobs.has(id) }));
  const bins = binsOf(input);
  const perZone = new Map<Zone, number>();
  for (const b of bins) perZone.set(b.zone, (perZone.get(b.zone) ?? 0) + 1);

  // Most machines are full most of the time, and need not be looked at again for each job.
  const demands = [...waiting.map((j) => j.spec), ...input.reserve.map((r) => r.spec)].map((s) => s.demand);
  const open = bins.filter((b) => b.empty || demands.some((d) => fitsWithin(d, b.free)));

  const moves: { machine: MachineRecord; to: NodeName }[] = [];
  const rentals: RentalNeed[] = [];
  /** Those that wait for room that cannot be rented now. */
  const refusedWants: RefusedWant[] = [];
  const isUp = (b: Bin) => b.real?.phase === 'up';
  /** Another slice does not need it now. */
  const spare = (b: Bin) => isUp(b) && b.taken === 0 && input.movable(b.real!);
  const score = (b: Bin, spec: JobSpec) =>
    (isUp(b) ? 4 : b.real !== null ? 2 : 0) +
    (b.spot === spec.spot ? 16 : 0) +
    (b.empty && b.taken === 0 ? 0 : 8);

  /** How many tasks of the job the bin could take. */
  const room = (b: Bin, spec: JobSpec, zone: Zone | null): number => {
    if (!typeAllowed(spec, b.type) || (b.spot && !spec.spot)) return 0;
    if ((zone ?? spec.zone ?? b.zone) !== b.zone || (spec.zone ?? b.zone) !== b.zone) return 0;
    return tasksThatFit(spec.demand, b.free);
  };

  /** Puts as many tasks as it can on paper, on the bins allowed; the best are filled first. */
  const fill = (w: Want, most: number, may: (b: Bin) => boolean, taken?: (b: Bin) => void): number => {
    const { spec } = w;
    if (most <= 0) return 0;
    const able = open.filter(
      (b) => may(b) && !(w.yields && b.real !== null && b.empty && !b.spot) && room(b, spec, w.zone) > 0,
    );
    if (able.length > 1) {
      const scores = new Map(able.map((b) => [b, score(b, spec)]));
      able.sort((x, y) => scores.get(y)! - scores.get(x)!);
    }
    let left = most;
    for (const b of able) {
      if (left === 0) break;
      const n = Math.min(left, room(b, spec, w.zone), zoneCap(spec) - (w.zones.get(b.zone) ?? 0));
      if (n <= 0) continue;
      taken?.(b);
      b.free = addResources(b.free, spec.demand, -n);
      b.taken += n;
      w.zones.set(b.zone, (w.zones.get(b.zone) ?? 0) + n);
      left -= n;
      // The first task of a job whose tasks must share a zone decides which.
      if (spec.oneZone) w.zone ??= b.zone;
    }
    return most - left;
  };

  /** On machines of the slice itself that are up. */
  const fillOwn = (w: Want, most: number) => fill(w, most, (b) => b.owner === w.node && isUp(b));

  /** What the slice has no room for: machines that another slice does not need now, those that boot, new ones. */
  const fillMore = (w: Want): void => {
    const { spec, node } = w;
    let left = w.tasks - fillOwn(w, w.tasks);
    left -= fill(
      w,
      left,
      (b) => b.owner !== node && spare(b),
      (b) => {
        b.owner = node;
        moves.push({ machine: b.real!, to: node });
      },
    );
    left -= fill(w, left, (b) => b.owner === node);
    const choices = left > 0 ? chooseType(spec, input) : [];
    while (left > 0) {
      let choice: { type: MachineType; zone: Zone; spot: boolean } | null = null;
      let cost = 0;
      for (const c of choices) {
        if (w.zone !== null && c.zone !== w.zone) continue;
        if ((w.zones.get(c.zone) ?? 0) >= zoneCap(spec)) continue;
        const price = c.spot ? c.type.spotPrice : c.type.price;
        if (choice !== null && price > cost * 1.001) continue;
        if (choice === null || (perZone.get(c.zone) ?? 0) < (perZone.get(choice.zone) ?? 0)) {
          choice = c;
          cost = price;
        }
      }
      if (choice === null) {
        refusedWants.push({ want: w, tasks: left });
        return;
      }
      rentals.push({ type: choice.type.name, zone: choice.zone, spot: choice.spot, owner: node });
      perZone.set(choice.zone, (perZone.get(choice.zone) ?? 0) + 1);
      const fresh: Bin = {
        real: null,
        type: choice.type.name,
        zone: choice.zone,
        spot: choice.spot,
        empty: false,
        owner: node,
        free: choice.type.capacity,
        taken: 0,
      };
      open.push(fresh);
      left -= fill(w, left, (b) => b === fresh);
    }
  };

  /** A gang's zone: the one where least has to be rented. Null where it cannot be had now. */
  const gangZone = (
    spec: JobSpec,
    may: (b: Bin) => boolean,
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
      if (missing > 0 && !refused && !chooseType(spec, input).some((c) => zone === null || c.zone === zone))
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
  const rest: Want[] = [];
  const holders = new Set<NodeName>();
  const keeping = new Set<Want>();
  for (const j of waiting) {
    const { spec } = j;
    const node = input.owners.get(spec.team)!;
    const placement = totals.jobs.get(spec.id);
    const zones = new Map<Zone, number>(placement?.tasksPerZone);
    const w: Want = {
      spec,
      node,
      tasks: openCount(j, placement),
      zone: oneZoneOf(spec, zones),
      zones,
      yields: input.yields(j),
    };
    if (spec.kind === 'gang') {
      if (placement !== undefined || fitsLimit(spec) < spec.tasks) continue;
      count(spec, spec.tasks);
      const at = gangZone(spec, (b) => b.owner === node && isUp(b), true);
      w.zone = at?.zone ?? null;
      if (at?.missing === 0) fillOwn(w, spec.tasks);
      else if (at !== null && !holders.has(node) && input.mayHold(j)) {
        // Its owner keeps for it what there is of its room: others must not count on that, nor is it returned.
        holders.add(node);
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
  const rank = (w: Want) => PRIORITY_RANK[w.spec.priority];
  rest.sort(
    (a, b) => rank(a) - rank(b) || totals.dominantShareOf(a.spec.team) - totals.dominantShareOf(b.spec.team),
  );
  for (const w of rest) {
    if (w.spec.kind === 'gang' && !keeping.has(w)) {
      const at = gangZone(w.spec, (b) => b.owner === w.node || spare(b));
      if (at === null) {
        refusedWants.push({ want: w, tasks: w.tasks });
        continue;
      }
      w.zone = at.zone;
    }
    fillMore(w);
  }
  for (const r of input.reserve) {
    const node = input.owners.get(r.spec.team);
    if (node === undefined) continue;
    const w: Want = { spec: r.spec, node, tasks: r.tasks, zone: null, zones: new Map(), yields: false };
    // Room in any slice will do: it changes slice when it is needed.
    w.tasks -= fill(w, w.tasks, () => true);
    fillMore(w);
  }
  for (const { bin, to } of movesWhileRefused(input, bins, rest, refusedWants))
    moves.push({ machine: bin.real!, to });
  const releases: MachineRecord[] = [];
  for (const b of open)
    if (b.real !== null && b.empty && b.taken === 0 && input.idle(b.real)) releases.push(b.real);
  return { moves, rentals, releases };
}

/** Tasks that could be started now, as far as the job tells; of one that fails everywhere, one at a time. */
function openCount(j: JobRecord, placement: JobAllocations | undefined): number {
  const placed = placement?.tasks.size ?? 0;
  const open = Math.max(0, Math.min(j.spec.tasks, j.done.base + WINDOW) - j.done.count - placed);
  return j.failing === undefined ? open : Math.min(open, Math.max(0, 1 - placed));
}

/** The zone that the job's tasks must share with those placed already. */
const oneZoneOf = (spec: JobSpec, zones: ReadonlyMap<Zone, number>): Zone | null =>
  spec.oneZone ? ([...zones].find(([, n]) => n > 0)?.[0] ?? null) : null;

/** Busy machines that change slice while the cloud has no room: for higher priorities first, then to level shares. */
function movesWhileRefused(
  input: FleetInput,
  bins: readonly Bin[],
  rest: readonly Want[],
  refused: readonly RefusedWant[],
): { bin: Bin; to: NodeName }[] {
  if (refused.length === 0) return [];
  const toReclaim = reclaimed(input, bins, refused);
  return toReclaim.length > 0 ? toReclaim : levelled(input, bins, rest);
}
