/** The log of committed changes from which the simulated state service answers watches. */

/** Number of changes that the log keeps; older ones are compacted away. */
const MAX_CHANGES = 10_000;

/** A committed change of one key; `value` is undefined for a removal. */
export interface Change {
  readonly key: string;
  readonly revision: number;
  readonly value: unknown;
}

/** An append-only log of bounded length, with listeners for new changes. */
export class ChangeLog {
  private changes: Change[] = [];
  private readonly listeners = new Set<() => void>();

  append(change: Change): void {
    this.changes.push(change);
  }

  /** Compacts the log, then calls every listener. */
  notify(): void {
    if (this.changes.length > MAX_CHANGES) this.changes = this.changes.slice(-MAX_CHANGES);
    for (const listener of [...this.listeners]) listener();
  }

  /** Whether changes after the revision may have been compacted away. */
  isCompacted(revision: number): boolean {
    return this.changes.length >= MAX_CHANGES && revision < this.changes[0]!.revision;
  }

  /** Changes after the revision of keys that start with the prefix. */
  since(revision: number, prefix: string): Change[] {
    return this.changes.filter((change) => change.revision > revision && change.key.startsWith(prefix));
  }

  addListener(listener: () => void): void {
    this.listeners.add(listener);
  }

  hasListener(listener: () => void): boolean {
    return this.listeners.has(listener);
  }

  removeListener(listener: () => void): void {
    this.listeners.delete(listener);
  }
}
