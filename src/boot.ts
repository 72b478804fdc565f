/**
 * Starts the program with a V8 code cache, which shortens the restart of a controller that has only a
 * fraction of a CPU core. Without a cache, or with one written by another version of Node.js, the program
 * starts more slowly but works the same.
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

const appFile = path.join(__dirname, 'app.cjs');
const cacheFile = path.join(__dirname, 'app.cache');

function readCache(): Buffer | undefined {
  try {
    return readFileSync(cacheFile);
  } catch {
    return undefined;
  }
}

const wrapperHead = '(function (exports, require, module, __filename, __dirname) {';
const script = new vm.Script(`${wrapperHead}${readFileSync(appFile, 'utf8')}\n})`, {
  filename: appFile,
  cachedData: readCache(),
});
const appModule = { exports: {} };
(script.runInThisContext() as ModuleFunction)(
  appModule.exports,
  createRequire(appFile),
  appModule,
  appFile,
  __dirname,
);

// Set by the build only: after this time the code that has been compiled so far is written to the cache, and
// the program exits.
const warmUpMs = Number(process.env['PEPPERBANK_WARM_MS'] ?? 0);
if (warmUpMs > 0)
  setTimeout(() => {
    writeFileSync(cacheFile, script.createCachedData());
    process.exit(0);
  }, warmUpMs);
