/** Sets of changes that are committed together, and the guards that protect them. */
import type { ClusterView } from '../../core/state/cluster-view.js';
import type { Guard, WriteOperation } from './state-messages.js';

/** The state service takes this many guards for each change that a transaction may make. */
export const GUARDS_PER_OPERATION = 4;

/** Changes that must be committed together, with the versions that they were made from. */
export interface ChangeSet {
  readonly operations: readonly WriteOperation[];
  readonly guards: readonly Guard[];
}

/** The distinct guards of a change, no more than a transaction takes. */
export class GuardSet {
  private readonly guards = new Map<string, Guard>();

  constructor(private readonly maxGuards: number) {}

  /** Adds all of the guards, or none where they would exceed the limit; returns whether they were added. */
  add(guards: readonly Guard[]): boolean {
    const newKeys = new Set(guards.map((guard) => guard.key).filter((key) => !this.guards.has(key)));
    if (this.guards.size + newKeys.size > this.maxGuards) return false;
    for (const guard of guards) this.guards.set(guard.key, guard);
    return true;
  }

  /** The guards in the order in which they were first added. */
  list(): Guard[] {
    return [...this.guards.values()];
  }
}

/** Whether the view shows that a guard has failed. Sending such a transaction would cost as much as one that succeeds. */
export const isOutdated = (view: ClusterView, guards: readonly Guard[]): boolean =>
  guards.some((guard) => view.versionOf(guard.key) !== guard.version);
