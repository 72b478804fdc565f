/**
 * Starts the program from a compile cache, which saves about a quarter of the start-up. On machines with a small
 * part of a core a controller is back sooner that way. Without a cache, or with one that another version of
 * Node.js made, everything works the same, only slower.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import path from 'node:path';
import vm from 'node:vm';

type Wrapped = (exports: object, req: NodeJS.Require, module: object, file: string, dir: string) => void;

const file = path.join(__dirname, 'app.cjs');
const cacheFile = path.join(__dirname, 'app.cache');

function cached(): Buffer | undefined {
  try {
    return readFileSync(cacheFile);
  } catch {
    return undefined;
  }
}

const wrapper = '(function (exports, require, module, __filename, __dirname) {';
const script = new vm.Script(`${wrapper}${readFileSync(file, 'utf8')}\n})`, {
  filename: file,
  cachedData: cached(),
});
const module_ = { exports: {} };
(script.runInThisContext() as Wrapped)(module_.exports, createRequire(file), module_, file, __dirname);

// The build starts the program once for a moment; what was compiled by then goes into the cache.
const warmMs = Number(process.env['PEPPERBANK_WARM_MS'] ?? 0);
if (warmMs > 0)
  setTimeout(() => {
    writeFileSync(cacheFile, script.createCachedData());
    process.exit(0);
  }, warmMs);
