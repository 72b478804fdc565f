/** Transactions: filled up to the limits of the state service, and committed until their outcome is known. */
import { key, parseKey } from '../../core/keys.js';
import { jsonBytes, shrinkMachineRecord } from '../../core/records.js';
import type { MachineRecord } from '../../core/types.js';
import type { View } from '../../core/view.js';
import { URGENCY, type Urgency } from '../rate-limiter.js';
import type { Guard, Op } from '../wire.js';
import { Unavailable, type StateClient } from './client.js';
import type { Follower } from './follower.js';

/** Changes that must be committed together, with the versions that they were made from. */
export interface Group {
  readonly ops: readonly Op[];
  readonly guards: readonly Guard[];
}

/** The state service takes so many guards for each change that a transaction may make. */
export const GUARDS_PER_OP = 4;

/** The distinct guards of a change, no more than a transaction takes. */
export class GuardSet {
  private readonly guards = new Map<string, Guard>();

  constructor(private readonly most: number) {}

  /** Adds all of them, or none where they would be too many. */
  add(guards: readonly Guard[]): boolean {
    const fresh = new Set(guards.map((g) => g.key).filter((k) => !this.guards.has(k)));
    if (this.guards.size + fresh.size > this.most) return false;
    for (const g of guards) this.guards.set(g.key, g);
    return true;
  }

  list(): Guard[] {
    return [...this.guards.values()];
  }
}

/** A transaction filled with groups. */
export interface Packed extends Group {
  readonly groups: readonly Group[];
}

/** A guard that the view shows to have failed. Transactions that fail cost as much as those that do not. */
export const outdated = (view: View, guards: readonly Guard[]) =>
  guards.some((g) => view.versionOf(g.key) !== g.version);

/**
 * The group with values within the limit, or null where that can't be: the service would refuse it for ever, and what
 * comes behind it would wait. Only what was stored under a higher limit is that large; it is left until it shrinks.
 */
function fitted(group: Group, valueBytes: number): Group | null {
  const ops: Op[] = [];
  for (const op of group.ops) {
    const small = fittedOp(op, valueBytes);
    if (small === null) return null;
    ops.push(small);
  }
  return { ops, guards: group.guards };
}

function fittedOp(op: Op, valueBytes: number): Op | null {
  if (op.value === undefined || jsonBytes(op.value) <= valueBytes) return op;
  if (parseKey(op.key).kind !== 'machine') return null;
  const value = shrinkMachineRecord(op.value as MachineRecord, valueBytes);
  return value === null ? null : { ...op, value };
}

/**
 * Fills transactions with groups, in order, as far as the state service's limits go. Each is put together only when its
 * turn comes, so that what has been overtaken meanwhile is left out.
 */
export function* pack(
  groups: readonly Group[],
  base: readonly Guard[],
  limits: { readonly txnOps: number; readonly valueBytes: number },
  view: View,
): Generator<Packed> {
  const { txnOps } = limits;
  for (let i = 0; i < groups.length;) {
    const ops: Op[] = [];
    const packed: Group[] = [];
    const guards = new Map<string, Guard>(base.map((g) => [g.key, g]));
    let bytes = 200 + 80 * guards.size;
    for (; i < groups.length; i++) {
      if (outdated(view, groups[i]!.guards)) continue;
      const g = fitted(groups[i]!, limits.valueBytes);
      if (g === null) continue;
      const size = JSON.stringify(g.ops).length + 80 * g.guards.length;
      const more = g.guards.filter((x) => !guards.has(x.key)).length;
      const full =
        ops.length + g.ops.length > txnOps ||
        bytes + size > 60_000 ||
        guards.size + more > txnOps * GUARDS_PER_OP;
      if (ops.length > 0 && full) break;
      ops.push(...g.ops);
      packed.push(g);
      for (const x of g.guards) guards.set(x.key, x);
      bytes += size;
    }
    if (ops.length > 0) yield { ops, guards: [...guards.values()], groups: packed };
  }
}

/** What became of a transaction; `rejected`: malformed or above a limit, now and for ever. */
export type Outcome = 'ok' | 'conflict' | 'refused' | 'rejected';

/**
 * Commits and comes back only when the outcome is known. A transaction without an answer may still be applied
 * minutes later, so one of the keys it is guarded on is written anew: from then on its guards fail.
 */
export async function commit(
  client: StateClient,
  follower: Follower,
  guards: readonly Guard[],
  ops: readonly Op[],
  urgency: Urgency,
): Promise<Outcome> {
  const r = await client.txn(guards, ops, urgency, () => outdated(follower.view, guards));
  if (r.kind === 'ok') {
    follower.applied(ops, r.rev);
    return 'ok';
  }
  if (r.kind === 'refused' || r.kind === 'rejected') return r.kind;
  if (r.kind === 'conflict') {
    await follower.reached(r.rev, 2000);
    return 'conflict';
  }
  if (r.kind === 'no_lease' || r.kind === 'stale') return 'conflict';
  const pivot = pivotOf(client, follower.view, guards, ops);
  for (;;) {
    const known = follower.view.entries.get(pivot.key);
    // The view knows a newer version already: whatever can have been applied is in it, or soon will be.
    if (known === undefined || known.version > pivot.version) return settle(client, follower);
    if (known.version === pivot.version) {
      const { lease } = known.value as { lease?: number };
      const op: Op = {
        key: pivot.key,
        value: known.value,
        reason: 'settling',
        ...(lease === undefined ? {} : { lease }),
      };
      const bump = await client.txn([pivot], [op], urgency);
      if (bump.kind === 'ok') follower.applied([op], bump.rev);
      if (bump.kind === 'ok' || bump.kind === 'conflict' || bump.kind === 'no_lease')
        return settle(client, follower);
    }
    await client.clock.sleep(200);
  }
}

/**
 * The guarded key to write anew after a transaction without an answer. Best one that the transaction writes itself: the
 * versions of the others mean something to others. A value stored under a higher limit can't be written back.
 */
function pivotOf(client: StateClient, view: View, guards: readonly Guard[], ops: readonly Op[]): Guard {
  const fitsLimit = (g: Guard) =>
    jsonBytes(view.entries.get(g.key)?.value ?? null) <= client.settings.valueBytes;
  const existing = guards.filter((g) => g.version > 0 && fitsLimit(g));
  const pivot =
    existing.find((g) => ops.some((o) => o.key === g.key)) ??
    existing.find((g) => g.key !== key.leader) ??
    existing[0];
  if (pivot === undefined) throw new Error('a transaction must be guarded on a key that exists');
  return pivot;
}

/**
 * Waits, however long it takes, until the view holds all that was committed before the call. Going on with
 * an older view could place a task a second time whose first placement is not in it yet.
 */
async function settle(client: StateClient, follower: Follower): Promise<'conflict'> {
  for (;;) {
    try {
      const rev = await client.present(URGENCY.starts);
      while (!(await follower.reached(rev, 5000)));
      return 'conflict';
    } catch (e) {
      if (!(e instanceof Unavailable)) throw e;
      await client.clock.sleep(200);
    }
  }
}

/** A transaction is sent so often again before its plan is given up. */
const MOST_REFUSALS = 3;
/** So long after the last answer of the service a refusal is taken for the budget's, and the transaction sent again. */
const REACHABLE_MS = 1000;

/** Commits a transaction, and sends it again where the budget refused it. */
async function commitPatiently(
  client: StateClient,
  follower: Follower,
  { ops, guards }: Group,
  urgency: Urgency,
): Promise<Outcome> {
  let outcome = await commit(client, follower, guards, ops, urgency);
  for (let i = 0; i < MOST_REFUSALS && outcome === 'refused' && client.reachable(REACHABLE_MS); i++)
    outcome = await commit(client, follower, guards, ops, urgency);
  return outcome;
}

/**
 * Commits groups in order, as many to a transaction as fit. False: not all were committed. One that was overtaken does not
 * hold up those behind it, and one that the budget refused is sent again: with small transactions a plan takes seconds to
 * commit, and to begin anew with each refusal cost most of what was planned. Of a transaction that the service rejects
 * each group is sent alone, so that the one at fault takes no others with it. After the time given the rest is left out.
 */
export async function commitAll(
  client: StateClient,
  follower: Follower,
  groups: readonly Group[],
  urgency: Urgency,
  forMs = Number.POSITIVE_INFINITY,
): Promise<boolean> {
  const until = client.clock.now() + forMs;
  let ok = true;
  for (const txn of pack(groups, [], client.settings, follower.view)) {
    const outcome = await commitPatiently(client, follower, txn, urgency);
    if (outcome === 'rejected' && txn.groups.length > 1) {
      for (const group of txn.groups) await commitPatiently(client, follower, group, urgency);
    }
    if (outcome === 'refused') return false;
    if (client.clock.now() >= until) return false;
    ok &&= outcome === 'ok';
  }
  return ok;
}
