/** Tells the loops of a controller which records of the view have changed. */
import type { ViewChanges } from '../core/state/view-changes.js';

/** Called after the view has taken the changes in; must neither throw nor wait. */
export type ViewChangeListener = (changes: ViewChanges) => void;

/** Listeners in the order of their subscription. */
export class ViewChangeFeed {
  private readonly listeners: ViewChangeListener[] = [];

  /** Calls the listener with all later changes. */
  subscribe(listener: ViewChangeListener): void {
    this.listeners.push(listener);
  }

  /** Tells all listeners of changes that the view has taken in. */
  publish(changes: ViewChanges): void {
    for (const listener of this.listeners) listener(changes);
  }
}
