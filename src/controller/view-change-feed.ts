/** Tells the loops of a controller which records of the view have changed. */
import type { ViewChanges } from '../core/state/view-changes.js';

/** Called after the view has taken the changes in; must neither throw nor wait. */
export type ViewChangeListener = (changes: ViewChanges) => void;

/** Listeners in the order of their subscription. */
export class ViewChangeFeed {
  private readonly listeners: ViewChangeListener[] = [];

  subscribe(listener: ViewChangeListener): void {
    this.listeners.push(listener);
  }

  publish(changes: ViewChanges): void {
    for (const listener of this.listeners) listener(changes);
  }
}
