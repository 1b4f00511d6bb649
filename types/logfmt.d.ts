declare module 'logfmt' {
  const logfmt: {
    stringify(fields: Record<string, unknown>): string;
    parse(line: string): Record<string, string>;
  };
  export default logfmt;
}
