/** Notifies the modules of a controller of changed records in its view. */
import type { ViewChanges } from '../core/state/view-changes.js';

/** Called synchronously after the changes were applied to the view; must neither throw nor block. */
export type ViewChangeListener = (changes: ViewChanges) => void;

/** Delivers changes of the view to listeners, synchronously and in the order of their subscription. */
export class ViewChangeFeed {
  private readonly listeners: ViewChangeListener[] = [];

  /** Adds a listener to all later changes, for the life of the process. */
  subscribe(listener: ViewChangeListener): void {
    this.listeners.push(listener);
  }

  /** Notifies all listeners of changes that were applied to the view. */
  publish(changes: ViewChanges): void {
    for (const listener of this.listeners) listener(changes);
  }
}
