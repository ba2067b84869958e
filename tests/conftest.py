import hypothesis

hypothesis.settings.register_profile('ci', derandomize=True, deadline=None)
hypothesis.settings.load_profile('ci')
