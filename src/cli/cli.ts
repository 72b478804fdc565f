/** The command line. `serve` is the default, so the platform can start the program with `--config PATH`. */
import { readFileSync, writeSync } from 'node:fs';
import { Command, CommanderError } from 'commander';
import pino from 'pino';
import { readOperatorSettingsFiles, type OperatorSettings } from '../config/operator-settings.js';
import { SettingsError, readPlatformSettings, type PlatformSettings } from '../config/platform-settings.js';
import { paths } from '../io/paths.js';
import type { LoadedPlugin } from '../plugin-host/api.js';
import { loadPlugins } from '../plugin-host/plugin-loader.js';

const VERSION = '0.1.0';
/** Exit codes: 0 done, 1 the service said no or could not be reached, 2 wrong usage or settings. */
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

/** How long a command waits for its answer. */
const ANSWER_TIMEOUT_MS = 5000;

const printOutput = (text: string) => writeSync(1, `${text}\n`);
const printError = (text: string) => writeSync(2, `${text}\n`);

interface Files {
  config: string;
  operator?: string[];
}

interface Loaded {
  readonly settings: PlatformSettings;
  readonly operator: OperatorSettings;
  readonly packages: readonly LoadedPlugin[];
}

function readText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (cause) {
    throw new SettingsError(`${path}: ${(cause as Error).message}`, { cause });
  }
}

function load(files: Files): Loaded {
  const text = readText(files.config);
  const settings = inFile(files.config, () => readPlatformSettings(text));
  const fromEnvironment = process.env['PEPPERBANK_OPERATOR'];
  const paths = files.operator ?? (fromEnvironment === undefined ? [] : [fromEnvironment]);
  const operatorFiles = paths.map((path) => ({ path, text: readText(path) }));
  const operator = readOperatorSettingsFiles(operatorFiles);
  if (Object.keys(operator.packages).length === 0) return { settings, operator, packages: [] };
  // Where several files hold sections, the message names them all: the path in it says which section it is.
  return inFile(paths.join(', '), () => ({
    settings,
    operator,
    packages: loadPlugins(operator.packages, settings),
  }));
}

/** Puts the file's path before what is wrong with it. */
function inFile<T>(path: string, read: () => T): T {
  try {
    return read();
  } catch (cause) {
    if (!(cause instanceof SettingsError)) throw cause;
    throw new SettingsError(`${path}: ${cause.message}`, { cause });
  }
}

async function serve(files: Files): Promise<void> {
  const { settings, operator, packages } = load(files);
  const level = process.env['LOG_LEVEL'] ?? 'info';
  const log = pino(
    { level: ['error', 'info', 'debug'].includes(level) ? level : 'info', base: { node: settings.node } },
    pino.destination({ fd: 2, sync: true }),
  );
  const { serve: serveController } = await import('../controller/serve.js');
  await serveController(settings, operator, log, packages);
}

/** Sends a request to a controller and prints its answer; the exit code tells success from failure. */
async function printAnswer(
  address: string,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
  { indent, timeoutMs = ANSWER_TIMEOUT_MS }: { indent?: number; timeoutMs?: number } = {},
): Promise<void> {
  const { HttpClient } = await import('../io/http-client.js');
  const client = new HttpClient(address.replace(/^http:\/\//, '').replace(/\/$/, ''), 1);
  try {
    const response = await client.request(method, path, body, timeoutMs);
    printOutput(JSON.stringify(response.body, null, indent));
    if (response.status >= 300) {
      printError(`${address}: ${response.status}`);
      process.exitCode = EXIT_FAILED;
    }
  } catch (error) {
    printError(`${address}: no answer (${(error as Error).message})`);
    process.exitCode = EXIT_FAILED;
  } finally {
    await client.close();
  }
}

const withFiles = (command: Command) =>
  command
    .requiredOption('--config <path>', "the platform's settings (TOML)")
    .option(
      '--operator <path>',
      "the operators' own settings (TOML), several times where they are in several files; also PEPPERBANK_OPERATOR",
      (path: string, before: string[] | undefined) => [...(before ?? []), path],
    );

const withAddress = (command: Command) =>
  command.requiredOption('--address <host:port>', "a controller's address", '127.0.0.1:8080');

interface AddressOption {
  readonly address: string;
}

/** Commands that run or check a controller. */
function addControllerCommands(program: Command): void {
  withFiles(
    program.command('serve', { isDefault: true }).description('run a controller (the default)'),
  ).action(serve);
  withFiles(program.command('check-config').description('check the settings and end')).action(
    (files: Files) => {
      const { settings, packages } = load(files);
      const enabled =
        packages.length === 0 ? '' : `, packages: ${packages.map(({ name }) => name).join(', ')}`;
      printOutput(
        `ok: ${settings.node}, ${settings.teams.length} teams, ${settings.nodes} controllers${enabled}`,
      );
    },
  );
}

/** Users' commands. */
function addJobCommands(program: Command): void {
  withAddress(
    program.command('submit').description('submit the job in a JSON file').argument('<file>'),
  ).action(async (file: string, options: AddressOption) => {
    let body: unknown;
    try {
      body = JSON.parse(readFileSync(file, 'utf8'));
    } catch (cause) {
      throw new SettingsError(`${file}: ${(cause as Error).message}`, { cause });
    }
    await printAnswer(options.address, 'POST', paths.jobs, body);
  });
  withAddress(program.command('show').description("show a job's state").argument('<id>')).action(
    async (id: string, options: AddressOption) => {
      await printAnswer(options.address, 'GET', paths.job.replace(':id', encodeURIComponent(id)));
    },
  );
  withAddress(program.command('cancel').description('cancel a job').argument('<id>')).action(
    async (id: string, options: AddressOption) => {
      await printAnswer(options.address, 'POST', paths.cancel.replace(':id', encodeURIComponent(id)));
    },
  );
}

/** A handover waits for logs to be drained and for the state service. */
const HANDOVER_TIMEOUT_MS = 30_000;

/** Operators' commands. */
function addOperatorCommands(program: Command): void {
  withAddress(
    program
      .command('status')
      .description('show teams, slices, machines and why jobs wait, as a controller sees them'),
  ).action(async (options: AddressOption) => {
    await printAnswer(options.address, 'GET', paths.status, undefined, { indent: 2 });
  });
  withAddress(
    program
      .command('handover')
      .description('move what a controller holds to its warm standbys, before it is restarted')
      .option('--to <node>', 'to this controller only'),
  ).action(async (options: AddressOption & { to?: string }) => {
    const path = paths.packageCommand.replace(':name', 'warm_standby').replace(':command', 'handover');
    const body = options.to === undefined ? {} : { to: options.to };
    await printAnswer(options.address, 'POST', path, body, { indent: 2, timeoutMs: HANDOVER_TIMEOUT_MS });
  });
}

/** Runs the command line; the exit code is left in `process.exitCode`. */
export async function run(argv: readonly string[]): Promise<void> {
  const program = new Command('pepperbank');
  program.description('A cluster scheduler').version(VERSION).exitOverride();
  addControllerCommands(program);
  addJobCommands(program);
  addOperatorCommands(program);
  try {
    await program.parseAsync([...argv]);
  } catch (error) {
    reportError(error);
  }
}

function reportError(error: unknown): void {
  if (error instanceof CommanderError) {
    process.exitCode = error.exitCode === 0 ? 0 : EXIT_USAGE;
    return;
  }
  const isSettingsError = error instanceof SettingsError;
  printError(`pepperbank: ${isSettingsError ? error.message : String((error as Error).stack)}`);
  process.exitCode = isSettingsError ? EXIT_USAGE : EXIT_FAILED;
}
