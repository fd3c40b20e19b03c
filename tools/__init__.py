"""Developer programs: demonstration, measurements, emulator, test runner."""
