/** Small helpers for maps of counts and groups. */

/** Adds the amount to the count of the key; a key without a count starts at zero. */
export function addToCount<Key>(counts: Map<Key, number>, key: Key, amount: number): void {
  counts.set(key, (counts.get(key) ?? 0) + amount);
}

/** Groups the items by key; groups and their items keep the order of the items. */
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
