/**
 * Starts the program from a compile cache, so that a controller is back sooner on machines with a small part of a core.
 * Without a cache, or with one that another version of Node.js made, it starts the same way, only slower.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import path from 'node:path';
import vm from 'node:vm';

type ModuleFunction = (
  exports: object,
  req: NodeJS.Require,
  module: object,
  file: string,
  dir: string,
) => void;

const file = path.join(__dirname, 'app.cjs');
const cacheFile = path.join(__dirname, 'app.cache');

function readCache(): Buffer | undefined {
  try {
    return readFileSync(cacheFile);
  } catch {
    return undefined;
  }
}

const wrapper = '(function (exports, require, module, __filename, __dirname) {';
const script = new vm.Script(`${wrapper}${readFileSync(file, 'utf8')}\n})`, {
  filename: file,
  cachedData: readCache(),
});
const appModule = { exports: {} };
(script.runInThisContext() as ModuleFunction)(
  appModule.exports,
  createRequire(file),
  appModule,
  file,
  __dirname,
);

// The build starts the program once for this time; what was compiled by then is written to the cache.
const warmMs = Number(process.env['PEPPERBANK_WARM_MS'] ?? 0);
if (warmMs > 0)
  setTimeout(() => {
    writeFileSync(cacheFile, script.createCachedData());
    process.exit(0);
  }, warmMs);
