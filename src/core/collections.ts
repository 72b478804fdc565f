/** Helpers for maps of counts and for grouping. */

/** Adds `amount` to the count of `key`; a key without a count starts at zero. */
export function addToCount<Key>(counts: Map<Key, number>, key: Key, amount: number): void {
  counts.set(key, (counts.get(key) ?? 0) + amount);
}

/** Groups items by key. Groups are in the order of their first items, and items keep their order within a group. */
export function groupBy<Key, Item>(
  items: Iterable<Item>,
  keyOf: (item: Item) => Key,
): Map<Key, [Item, ...Item[]]> {
  const groups = new Map<Key, [Item, ...Item[]]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}
