/** Collections that are kept within a size by forgetting what was added first. */

/** Forgets the entry that was added first where the map has more than so many. */
export function evictOldest<K>(map: Map<K, unknown>, most: number): void {
  if (map.size <= most) return;
  const oldest = map.keys().next();
  if (oldest.done !== true) map.delete(oldest.value);
}
