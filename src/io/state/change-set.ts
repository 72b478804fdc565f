/** Change sets: write operations that are committed in one transaction, and the guards that it is conditional on. */
import type { ClusterView } from '../../core/state/cluster-view.js';
import type { Guard, WriteOperation } from './state-messages.js';

/** The state service's limit on guards in a transaction, as a multiple of its limit on operations. */
export const GUARDS_PER_OPERATION = 4;

/**
 * Write operations that must be committed together, and the versions of the keys that they were decided from: nothing
 * is written unless each guarded key still has the version of its guard.
 */
export interface ChangeSet {
  readonly operations: readonly WriteOperation[];
  readonly guards: readonly Guard[];
  /**
   * Names of groups whose change sets are of use only together, such as the starts of a gang: once one of them conflicts,
   * the others are not worth committing. None by default.
   */
  readonly groups?: readonly string[];
}

/**
 * The change sets as one, with the base guards first and one guard for each key. All their guards are taken from one view,
 * so that those of one key agree.
 */
export function mergeChangeSets(
  changeSets: readonly ChangeSet[],
  baseGuards: readonly Guard[] = [],
): Pick<ChangeSet, 'operations' | 'guards'> {
  const guards = [...baseGuards, ...changeSets.flatMap((changeSet) => changeSet.guards)];
  return {
    operations: changeSets.flatMap(({ operations }) => operations),
    guards: [...new Map(guards.map((guard) => [guard.key, guard])).values()],
  };
}

/** Whether the change set is guarded on one of the keys. */
export const isGuardedOnAny = ({ guards }: ChangeSet, keys: ReadonlySet<string>): boolean =>
  guards.some(({ key }) => keys.has(key));

/** The guards of one change set, at most one for each key and no more than fit into a transaction. */
export class GuardSet {
  private readonly guards = new Map<string, Guard>();

  constructor(private readonly maxGuards: number) {}

  /** Adds all guards, or none if they would exceed the limit; returns whether they were added. */
  add(guards: readonly Guard[]): boolean {
    const newKeys = new Set(guards.map((guard) => guard.key).filter((key) => !this.guards.has(key)));
    if (this.guards.size + newKeys.size > this.maxGuards) return false;
    for (const guard of guards) this.guards.set(guard.key, guard);
    return true;
  }

  /** All guards, in the order in which their keys were first added. */
  list(): Guard[] {
    return [...this.guards.values()];
  }
}

/**
 * Whether a guard's key has another version in the view, so that a transaction with the guard is not worth sending: a
 * conflict uses as much of the state service's write budget as a commit.
 */
export const isOutdated = (view: ClusterView, guards: readonly Guard[]): boolean =>
  guards.some((guard) => view.versionOf(guard.key) !== guard.version);
