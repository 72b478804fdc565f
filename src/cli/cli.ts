/** The command line. `serve` is the default, so the platform can start the program with `--config PATH`. */
import { readFileSync, writeSync } from 'node:fs';
import { Command, CommanderError } from 'commander';
import pino from 'pino';
import { readOperator, type Operator } from '../config/operator.js';
import { SettingsError, readSettings, type Settings } from '../config/settings.js';

const VERSION = '0.1.0';
/** Exit codes: 0 done, 1 the service said no or could not be reached, 2 wrong usage or settings. */
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const out = (text: string) => writeSync(1, `${text}\n`);
const err = (text: string) => writeSync(2, `${text}\n`);

interface Files {
  config: string;
  operator?: string;
}

function load(files: Files): { settings: Settings; operator: Operator } {
  const read = <T>(path: string, parse: (text: string) => T): T => {
    try {
      return parse(readFileSync(path, 'utf8'));
    } catch (e) {
      const why = e instanceof SettingsError ? e.message : (e as Error).message;
      throw new SettingsError(`${path}: ${why}`);
    }
  };
  const operatorPath = files.operator ?? process.env['PEPPERBANK_OPERATOR'];
  return {
    settings: read(files.config, readSettings),
    operator: operatorPath === undefined ? readOperator('') : read(operatorPath, readOperator),
  };
}

async function serve(files: Files): Promise<void> {
  const { settings, operator } = load(files);
  const level = process.env['LOG_LEVEL'] ?? 'info';
  const log = pino(
    { level: ['error', 'info', 'debug'].includes(level) ? level : 'info', base: { node: settings.node } },
    pino.destination({ fd: 2, sync: true }),
  );
  const controller = await import('../controller/controller.js');
  await controller.serve(settings, operator, log);
}

/** Asks a controller and prints its answer; the exit code says how it went. */
async function ask(
  address: string,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
  indent?: number,
): Promise<void> {
  const { HttpClient } = await import('../io/http.js');
  const client = new HttpClient(address.replace(/^http:\/\//, '').replace(/\/$/, ''), 1);
  try {
    const r = await client.request(method, path, body, 5000);
    out(JSON.stringify(r.body, null, indent));
    if (r.status >= 300) {
      err(`${address}: ${r.status}`);
      process.exitCode = EXIT_FAILED;
    }
  } catch (e) {
    err(`${address}: no answer (${(e as Error).message})`);
    process.exitCode = EXIT_FAILED;
  } finally {
    await client.close();
  }
}

/** Runs the command line; the exit code is left in `process.exitCode`. */
export async function run(argv: readonly string[]): Promise<void> {
  const program = new Command('pepperbank');
  program.description('A cluster scheduler').version(VERSION).exitOverride();
  const files = (c: Command) =>
    c
      .requiredOption('--config <path>', "the platform's settings (TOML)")
      .option('--operator <path>', "the operators' own settings (TOML); also PEPPERBANK_OPERATOR");
  files(program.command('serve', { isDefault: true }).description('run a controller (the default)')).action(
    serve,
  );
  files(program.command('check-config').description('check the settings and end')).action((f: Files) => {
    const { settings } = load(f);
    out(`ok: ${settings.node}, ${settings.teams.length} teams, ${settings.nodes} controllers`);
  });
  const address = (c: Command) =>
    c.requiredOption('--address <host:port>', "a controller's address", '127.0.0.1:8080');
  address(program.command('submit').description('submit the job in a JSON file').argument('<file>')).action(
    async (file: string, o: { address: string }) => {
      let body: unknown;
      try {
        body = JSON.parse(readFileSync(file, 'utf8'));
      } catch (e) {
        throw new SettingsError(`${file}: ${(e as Error).message}`);
      }
      const { paths } = await import('../io/wire.js');
      await ask(o.address, 'POST', paths.jobs, body);
    },
  );
  address(program.command('show').description("show a job's state").argument('<id>')).action(
    async (id: string, o: { address: string }) => {
      const { paths } = await import('../io/wire.js');
      await ask(o.address, 'GET', paths.job.replace(':id', encodeURIComponent(id)));
    },
  );
  address(program.command('cancel').description('cancel a job').argument('<id>')).action(
    async (id: string, o: { address: string }) => {
      const { paths } = await import('../io/wire.js');
      await ask(o.address, 'POST', paths.cancel.replace(':id', encodeURIComponent(id)));
    },
  );
  address(
    program
      .command('status')
      .description('show teams, slices, machines and why jobs wait, as a controller sees them'),
  ).action(async (o: { address: string }) => {
    const { paths } = await import('../io/wire.js');
    await ask(o.address, 'GET', paths.status, undefined, 2);
  });
  try {
    await program.parseAsync([...argv]);
  } catch (e) {
    if (e instanceof CommanderError) process.exitCode = e.exitCode === 0 ? 0 : EXIT_USAGE;
    else {
      err(`pepperbank: ${e instanceof SettingsError ? e.message : String((e as Error).stack)}`);
      process.exitCode = e instanceof SettingsError ? EXIT_USAGE : EXIT_FAILED;
    }
  }
}
